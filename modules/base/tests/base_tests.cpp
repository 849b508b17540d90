// Tests of the base value types, the error table and the mailbox.

#include "fulmar/base/baseerrors.h"
#include "fulmar/base/mailbox.h"
#include "fulmar/base/rendezvous.h"
#include "fulmar/base/result.h"
#include "fulmar/testing/property.h"

#include <map>
#include <set>
#include <vector>

using namespace fulmar::base;

TEST_GROUP(ErrorTable){};

TEST(ErrorTable, rowsStandInTheOrderOfTheKinds) {
  for (std::size_t Index = 0; Index < ErrorKindCount; ++Index) {
    const auto Kind = static_cast<error_kind>(Index);
    CHECK(answerOf(Kind).Kind == Kind);
  }
}

TEST(ErrorTable, namesAndCodesAreUnique) {
  std::set<std::string_view> Names;
  std::set<int> Codes;
  for (std::size_t Index = 0; Index < ErrorKindCount; ++Index) {
    const error_answer &Answer = answerOf(static_cast<error_kind>(Index));
    CHECK(Names.insert(Answer.Name).second);
    CHECK(Codes.insert(Answer.RpcCode).second);
    CHECK(kindOfRpcCode(Answer.RpcCode) == Answer.Kind);
  }
}

TEST(ErrorTable, refusalsUnderOverloadNameATimeToRetry) {
  for (std::size_t Index = 0; Index < ErrorKindCount; ++Index) {
    const error_answer &Answer = answerOf(static_cast<error_kind>(Index));
    if (Answer.HttpStatus == 503)
      CHECK_TEXT(Answer.RetryAfter.has_value(), Answer.Name.data());
  }
}

TEST_GROUP(Result){};

TEST(Result, carriesTheErrorKind) {
  const result<int> Failed = fail(error_kind::NoTarget, "none");
  CHECK(!Failed.has_value());
  CHECK(Failed.error().Kind == error_kind::NoTarget);
}

TEST_GROUP(Rendezvous){};

TEST(Rendezvous, aLostMemberMovesOnlyItsOwnKeys) {
  fulmar::testing::checkProperty(
      "only the lost member's keys move", [](const std::string &Key) {
        std::vector<instance_id> Members;
        for (int Number = 0; Number < 7; ++Number)
          Members.emplace_back("entry-" + std::to_string(Number));
        const instance_id Lost = Members.back();
        const auto Before = rendezvousHolder(Key, Members);
        Members.pop_back();
        const auto After = rendezvousHolder(Key, Members);
        RC_ASSERT(Before == After || Before == Lost);
      });
}

TEST(Rendezvous, keysSpreadOverMembers) {
  const std::vector<instance_id> Members = {instance_id("a"), instance_id("b"),
                                            instance_id("c"), instance_id("d")};
  std::map<instance_id, int> Held;
  constexpr int Keys = 4000;
  for (int Number = 0; Number < Keys; ++Number)
    ++Held[*rendezvousHolder("target-" + std::to_string(Number), Members)];
  for (const auto &[Member, Count] : Held)
    CHECK(Count > Keys / 5 && Count < Keys * 3 / 10);
}

TEST_GROUP(Mailbox){};

TEST(Mailbox, keepsOrderAndRefusesAfterClose) {
  mailbox<int> Box;
  CHECK(Box.post(1));
  CHECK(Box.post(2));
  Box.close();
  CHECK(!Box.post(3));
  const std::vector<int> Taken = Box.takeAll(duration(0));
  CHECK(Taken == std::vector<int>({1, 2}));
}
