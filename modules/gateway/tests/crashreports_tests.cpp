// Crash reports over links that lose messages.

#include "fulmar/gateway/crashreports.h"
#include "fulmar/testing/property.h"

#include <set>

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

namespace {

const controlstate::crash_command Crash{
    .Fingerprint = "f", .Target = "t", .Incarnation = "1"};
const std::vector<std::string> Instances = {"a", "b", "c"};

} // namespace

TEST_GROUP(CrashReports) {
  crash_reports Reports;
  base::instant Now{std::chrono::seconds(100)};
};

TEST(CrashReports, areSentOnceWhileTheyAreConfirmed) {
  Reports.add(Crash, Now);
  const auto Due = Reports.takeDue(Instances, Now);
  CHECK(Due.size() == 1);
  CHECK(std::get<fleetlink::crash_notification>(Due.front().Message).Crash ==
        Crash);
  CHECK(Reports.takeDue(Instances, Now + milliseconds(100)).empty());
  Reports.confirm(Due.front().Id);
  CHECK(Reports.takeDue(Instances, Now + milliseconds(500)).empty());
}

// The instance is partitioned off, or restarts and forgets the report.
TEST(CrashReports, goToAnotherInstanceWhenTheyAreNotConfirmed) {
  Reports.add(Crash, Now);
  std::set<std::string> Told;
  for (int Step = 0; Step < 30; ++Step) {
    for (const due_report &Due : Reports.takeDue(Instances, Now))
      Told.insert(Due.Address);
    Now += milliseconds(100);
  }
  CHECK(Told.size() == Instances.size());
}

TEST(CrashReports, waitForALink) {
  Reports.add(Crash, Now);
  CHECK(Reports.takeDue({}, Now).empty());
  CHECK(Reports.takeDue({"a"}, Now + std::chrono::seconds(10)).size() == 1);
}

TEST(CrashReports, expireAndAreBounded) {
  for (int Number = 0; Number < 10'000; ++Number)
    Reports.add(Crash, Now);
  CHECK(Reports.size() <= 256);
  CHECK(Reports.takeDue(Instances, Now + std::chrono::minutes(1)).empty());
  CHECK(Reports.size() == 0);
}

TEST(CrashReports, anAnsweredRequestIsReportedWithItsAgeOnEachAttempt) {
  Reports.addAnsweredRequest("f", Now - milliseconds(700), Now);
  Now += milliseconds(500);
  const auto Due = Reports.takeDue(Instances, Now);
  CHECK(std::get<fleetlink::answer_notification>(Due.front().Message).Answer ==
        controlstate::request_answered_command(
            {.Fingerprint = "f", .AgeMs = 1'200}));
}

// Each message and each confirmation is lost with the same probability.
TEST(CrashReports, reachAnInstanceOverLinksThatLoseHalfOfTheMessages) {
  testing::checkProperty("lossy links", [] {
    crash_reports Lossy;
    base::instant At(std::chrono::seconds(1));
    Lossy.add(Crash, At);
    bool Counted = false;
    for (int Step = 0; Step < 400 && Lossy.size() > 0; ++Step) {
      for (const due_report &Due : Lossy.takeDue(Instances, At)) {
        const bool Arrives = *rc::gen::inRange(0, 2) == 0;
        Counted = Counted || Arrives;
        if (Arrives && *rc::gen::inRange(0, 2) == 0)
          Lossy.confirm(Due.Id);
      }
      At += milliseconds(100);
    }
    RC_ASSERT(Counted);
  });
}
