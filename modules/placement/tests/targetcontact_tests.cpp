// When an entry concludes that it has lost the path to a service's targets.

#include "fulmar/placement/targetcontact.h"

#include <CppUTest/TestHarness.h>

using namespace fulmar;
using namespace fulmar::placement;
using std::chrono::milliseconds;

TEST_GROUP(TargetContact) {
  target_contact Contact;
  base::instant Now{std::chrono::seconds(100)};

  contact_change silent(const std::string &Target, std::size_t Listed = 20) {
    Now += milliseconds(200);
    return Contact.silent(Target, Listed, Now - milliseconds(10), Now);
  }
  contact_change answered() {
    return Contact.answered(Now += milliseconds(10));
  }
};

TEST(TargetContact, isLostWhenSeveralTargetsInARowAreSilent) {
  CHECK_TRUE(silent("a") == contact_change::None);
  CHECK_TRUE(silent("b") == contact_change::None);
  CHECK_TRUE(silent("c") == contact_change::Lost);
  CHECK_TRUE(Contact.lost());
  CHECK_TRUE(silent("d") == contact_change::None);
  CHECK_EQUAL(4U, Contact.silentCount());
}

TEST(TargetContact, oneTargetThatCrashesIsNoLossOfContact) {
  for (int Times = 0; Times < 10; ++Times)
    CHECK_TRUE(silent("a") == contact_change::None);
  CHECK_FALSE(Contact.lost());
}

TEST(TargetContact, anAnswerBetweenSilentTargetsProvesContact) {
  for (const char *Target : {"a", "b", "c", "d", "e", "f"}) {
    CHECK_TRUE(silent(Target) == contact_change::None);
    CHECK_TRUE(answered() == contact_change::None);
  }
}

TEST(TargetContact, aServiceWithFewTargetsIsLostWhenAllAreSilent) {
  CHECK_TRUE(silent("a", 2) == contact_change::None);
  CHECK_TRUE(silent("b", 2) == contact_change::Lost);
}

TEST(TargetContact, aServiceWithoutTargetsIsNotLost) {
  CHECK_TRUE(silent("a", 0) == contact_change::None);
  CHECK_FALSE(Contact.lost());
}

TEST(TargetContact, isRegainedWithTheFirstAnswer) {
  silent("a");
  silent("b");
  silent("c");
  const base::instant LostAt = Now;
  CHECK_TRUE(answered() == contact_change::Regained);
  CHECK_FALSE(Contact.lost());
  CHECK_TRUE(Contact.lostAt() == LostAt);
  CHECK_EQUAL(0U, Contact.silentCount());
  CHECK_TRUE(Contact.answeredSince(Now));
  // The next loss needs as much evidence as the first one.
  CHECK_TRUE(silent("a") == contact_change::None);
}

TEST(TargetContact, questionsAskedBeforeTheLastAnswerProveNothing) {
  const base::instant AskedAt = Now;
  answered();
  Now += milliseconds(200);
  for (const char *Target : {"a", "b", "c", "d"})
    CHECK_TRUE(Contact.silent(Target, 20, AskedAt, Now) ==
               contact_change::None);
}

TEST(TargetContact, refusalsRightAfterAnAnswerAreNoLossOfContact) {
  answered();
  for (const char *Target : {"a", "b", "c", "d"})
    CHECK_TRUE(Contact.silent(Target, 20, Now, Now + milliseconds(2)) ==
               contact_change::None);
  CHECK_FALSE(Contact.lost());
}
