// Decisions of a control instance: retries of calls, voter changes,
// confirmation of orders.

#include "fulmar/controlnode/callerconfirmation.h"
#include "fulmar/controlnode/callqueue.h"
#include "fulmar/controlnode/voterpolicy.h"
#include "fulmar/testing/property.h"

#include <set>

using namespace fulmar;
using namespace fulmar::controlnode;
using std::chrono::milliseconds;

namespace {

base::instant at(std::int64_t Ms) { return base::instant(milliseconds(Ms)); }

} // namespace

TEST_GROUP(CallQueue) {
  call_queue Calls;
  int Ended = 0;

  std::uint64_t add(std::int64_t DeadlineMs) {
    return Calls.add(fleetlink::leader_call::Propose, "c", at(DeadlineMs),
                     [this](const call_result & /*Result*/) { ++Ended; });
  }
  void end(std::vector<finished_call> Finished) {
    for (finished_call &Call : Finished)
      Call.Handler(std::move(Call.Result));
  }
};

TEST(CallQueue, retriesACallWithoutAReply) {
  add(5'000);
  CHECK_EQUAL(1U, Calls.takeDue(at(0)).size());
  CHECK_EQUAL(0U, Calls.takeDue(at(100)).size());
  CHECK_EQUAL(1U, Calls.takeDue(at(300)).size());
}

TEST(CallQueue, retriesAtOnceWhenThereIsANewLeader) {
  add(5'000);
  Calls.takeDue(at(0));
  Calls.retryAll(at(10));
  CHECK_EQUAL(1U, Calls.takeDue(at(10)).size());
}

TEST(CallQueue, everyCallFinishesExactlyOnce) {
  const auto First = add(5'000);
  add(100);
  end(Calls.finish(First, std::string("done")));
  end(Calls.finish(First, std::string("done")));
  CHECK_EQUAL(1, Ended);
  end(Calls.expire(at(100)));
  end(Calls.expire(at(10'000)));
  CHECK_EQUAL(2, Ended);
  CHECK_EQUAL(0U, Calls.size());
}

// Guards against a call that a woken instance sends again although its time is
// over and its caller went elsewhere.
TEST(CallQueue, aCallWhoseTimeIsOverIsNotSentAgain) {
  add(900);
  CHECK_EQUAL(1U, Calls.takeDue(at(0)).size());
  CHECK_EQUAL(0U, Calls.takeDue(at(8'000)).size());
  Calls.retryAll(at(8'000));
  CHECK_EQUAL(0U, Calls.takeDue(at(8'000)).size());
  end(Calls.expire(at(8'000)));
  CHECK_EQUAL(1, Ended);
}

// Guards against a reply to a call of the run before a restart that is taken
// for the reply to a new call: replies name only the call's number.
TEST(CallQueue, aReplyToACallOfAnEarlierRunFinishesNothing) {
  call_queue Earlier;
  const auto Old = Earlier.add(fleetlink::leader_call::Propose, "old",
                               at(5'000), [](const call_result &) {});
  add(5'000);
  end(Calls.finish(Old, std::string("done")));
  CHECK_EQUAL(0, Ended);
  CHECK_EQUAL(1U, Calls.size());
}

TEST_GROUP(Confirmation) {
  caller_confirmation Confirmation;
  const base::instant Now = at(60'000);
};

TEST(Confirmation, anOrderThatWasReadAtOnceNeedsNone) {
  CHECK_FALSE(Confirmation.isNeeded({.Awaited = milliseconds(499)}, "", Now));
  CHECK_FALSE(Confirmation.isNeeded({.StallEndedAt = at(58'000)}, "", Now));
}

TEST(Confirmation, anOrderOfUnknownAgeNeedsATokenOfThePresentTime) {
  const order_age Old{.Awaited = milliseconds(500)};
  const order_age Stalled{.StallEndedAt = at(59'500)};
  for (const order_age &Age : {Old, Stalled}) {
    CHECK_TRUE(Confirmation.isNeeded(Age, "", Now));
    CHECK_TRUE(Confirmation.isNeeded(Age, "1-2", Now));
    const std::string Token = Confirmation.issue(Now);
    CHECK_FALSE(Confirmation.isNeeded(Age, Token, at(60'499)));
    CHECK_TRUE(Confirmation.isNeeded(Age, Token, at(60'500)));
    CHECK_TRUE(Confirmation.isNeeded(Age, "", at(60'499)));
  }
}

TEST(Confirmation, ordersThatAreSentBackTogetherDoNotSpoilEachOther) {
  const order_age Old{.Awaited = milliseconds(500)};
  const std::string First = Confirmation.issue(Now);
  Confirmation.issue(at(60'100));
  CHECK_FALSE(Confirmation.isNeeded(Old, First, at(60'110)));
}

TEST(Confirmation, aTokenEndsWithAStall) {
  const std::string Token = Confirmation.issue(Now);
  CHECK_TRUE(
      Confirmation.isNeeded({.StallEndedAt = at(60'100)}, Token, at(60'200)));
}

TEST_GROUP(Voters) {
  voter_policy Policy;
  consensus::configuration Members{
      .Voters = {{"a", "1"}, {"b", "1"}, {"c", "1"}}, .Formed = true};

  void setup() override { Policy.becomeLeader(at(0)); }
};

TEST(Voters, joiningInstanceIsAddedUpToTheLimit) {
  while (Members.Voters.size() < MaxVoters) {
    const auto Change =
        Policy.changeForJoinRequest("new", Members, "a", at(1'000));
    CHECK_TRUE(Change == (voter_change{voter_change::kind::Add, "new"}));
    Members.Voters.push_back({std::to_string(Members.Voters.size()), "1"});
  }
  CHECK_FALSE(
      Policy.changeForJoinRequest("new", Members, "a", at(1'000)).has_value());
}

// Guards against a replacement that leaves the cluster with fewer voters, and
// so with fewer disks that may be lost, until the joining instance votes.
TEST(Voters, joiningInstanceIsAddedBeforeASilentVoterIsRemoved) {
  Policy.recordContact("b", at(9'000));
  const auto Change = Policy.changeForJoinRequest("d", Members, "a", at(9'000));
  CHECK_TRUE(Change == (voter_change{voter_change::kind::Add, "d"}));
  Members.Voters.push_back({"d", "1"});
  Policy.recordContact("d", at(9'000));
  const auto Next = Policy.voterToRemove(Members, "a", at(9'000));
  CHECK_TRUE(Next == (voter_change{voter_change::kind::Remove, "c"}));
}

TEST(Voters, silentVoterMakesRoomForAJoiningInstanceAtTheLimit) {
  for (std::size_t Number = 3; Number < MaxVoters; ++Number) {
    Members.Voters.push_back({std::to_string(Number), "1"});
    Policy.recordContact(std::to_string(Number), at(9'000));
  }
  Policy.recordContact("b", at(9'000));
  const auto Change =
      Policy.changeForJoinRequest("new", Members, "a", at(9'000));
  CHECK_TRUE(Change == (voter_change{voter_change::kind::Remove, "c"}));
}

TEST(Voters, silentLearnerMakesRoomForAJoiningInstance) {
  Members.Learners.push_back({"d", "1"});
  for (const char *Id : {"b", "c"})
    Policy.recordContact(Id, at(9'000));
  const auto Change = Policy.changeForJoinRequest("e", Members, "a", at(9'000));
  CHECK_TRUE(Change == (voter_change{voter_change::kind::Remove, "d"}));
}

TEST(Voters, joinRequestFromAVoterRemovesNobody) {
  CHECK_FALSE(
      Policy.changeForJoinRequest("b", Members, "a", at(60'000)).has_value());
}

TEST(Voters, membersDoNotChangeBeforeTheClusterIsFormed) {
  Members.Formed = false;
  CHECK_FALSE(
      Policy.changeForJoinRequest("d", Members, "a", at(1'000)).has_value());
}

TEST(Voters, silentVoterIsRemovedOnceItsReplacementVotes) {
  Members.Voters.push_back({"d", "1"});
  for (const char *Id : {"b", "d"})
    Policy.recordContact(Id, at(9'000));
  // A quorum needs three of four voters and only three are reachable, so no
  // further failure is tolerated.
  const auto Change = Policy.voterToRemove(Members, "a", at(9'000));
  CHECK_TRUE(Change == (voter_change{voter_change::kind::Remove, "c"}));
  CHECK_FALSE(Policy.voterToRemove(Members, "a", at(7'000)).has_value());
}

TEST(Voters, voterIsRemovedOnlyIfThatToleratesMoreFailures) {
  const auto Removes = [](std::size_t Listed, std::size_t Heard,
                          std::size_t ToleratedDiskLosses) {
    consensus::configuration All{.Formed = true};
    voter_policy Fresh({.ToleratedDiskLosses = ToleratedDiskLosses});
    Fresh.becomeLeader(at(0));
    for (std::size_t Number = 0; Number < Listed; ++Number) {
      All.Voters.push_back({std::to_string(Number), "1"});
      if (Number < Heard)
        Fresh.recordContact(std::to_string(Number), at(60'000));
    }
    const bool Removed = Fresh.voterToRemove(All, "0", at(60'000)).has_value();
    const bool Kept = Fresh.voterKeptForDisks(All, "0", at(60'000)).has_value();
    CHECK_FALSE(Removed && Kept);
    // Only the disks of a smaller cluster are a reason to keep the voter.
    CHECK_TRUE(Kept == (!Removed && ToleratedDiskLosses > 1 && Listed == 5 &&
                        Heard == 3));
    return Removed;
  };
  for (const std::size_t DiskLosses : {0U, 1U, 2U, 3U}) {
    CHECK_FALSE(Removes(3, 3, DiskLosses));
    CHECK_FALSE(Removes(3, 2, DiskLosses));
    CHECK_FALSE(Removes(3, 1, DiskLosses));
    CHECK_FALSE(Removes(5, 4, DiskLosses));
    CHECK_TRUE(Removes(4, 3, DiskLosses));
    CHECK_TRUE(Removes(6, 5, DiskLosses));
    CHECK_TRUE(Removes(5, 3, DiskLosses) == (DiskLosses < 2));
    CHECK_TRUE(Removes(11, 6, DiskLosses));
  }
}

// Guards against voters whose majority is lost with the disks that may be lost
// at once, whatever has happened to them before.
TEST(Voters, theToleratedDiskLossesNeverTakeTheMajority) {
  testing::checkProperty("tolerated disk losses leave a majority", [] {
    const auto Tolerated = *rc::gen::inRange<std::size_t>(0, 4);
    const auto Listed = *rc::gen::inRange<std::size_t>(1, MaxVoters + 1);
    voter_policy Drawn({.ToleratedDiskLosses = Tolerated});
    consensus::configuration All{.Formed = true};
    std::size_t Created = 0;
    while (All.Voters.size() < Listed)
      All.Voters.push_back({std::to_string(Created++), "1"});
    const std::string Self = All.Voters.front().Id;
    std::int64_t NowMs = 0;
    std::set<std::string> Silent;
    std::size_t Kept =
        std::min(Tolerated, consensus::survivableDiskLosses(Listed));
    const auto Apply = [&All](const std::optional<voter_change> &Change) {
      if (!Change)
        return;
      const auto Is = [&Change](const consensus::member &Member) {
        return Member.Id == Change->Id;
      };
      if (Change->Kind == voter_change::kind::Add) {
        All.Learners.push_back({Change->Id, "1"});
      } else {
        std::erase_if(All.Voters, Is);
        std::erase_if(All.Learners, Is);
      }
    };
    const auto Steps =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 100));
    for (const int Step : Steps) {
      const std::string Id =
          All.Voters[static_cast<std::size_t>(Step) % All.Voters.size()].Id;
      switch (Step % 5) {
      case 0:
        Silent.insert(Id);
        break;
      case 1:
        Silent.erase(Id);
        break;
      case 2:
        Apply(Drawn.changeForJoinRequest("new" + std::to_string(Created++), All,
                                         Self, at(NowMs)));
        break;
      case 3:
        if (!All.Learners.empty()) {
          All.Voters.push_back(All.Learners.back());
          All.Learners.pop_back();
        }
        break;
      default:
        Apply(Drawn.voterToRemove(All, Self, at(NowMs)));
        break;
      }
      NowMs += 4'000;
      for (const auto *Held : {&All.Voters, &All.Learners}) {
        for (const consensus::member &Member : *Held) {
          if (!Silent.contains(Member.Id))
            Drawn.recordContact(Member.Id, at(NowMs));
        }
      }
      const std::size_t Voters = All.Voters.size();
      RC_ASSERT(Voters <= MaxVoters);
      RC_ASSERT(Voters - Kept >= consensus::quorumOf(Voters));
      // What a small cluster could not survive before, it may from now on.
      Kept = std::max(
          Kept, std::min(Tolerated, consensus::survivableDiskLosses(Voters)));
    }
  });
}

TEST(Voters, voterIsNotRemovedDuringAnotherChange) {
  Members.Voters.push_back({"d", "1"});
  Members.Learners.push_back({"e", "1"});
  for (const char *Id : {"b", "d"})
    Policy.recordContact(Id, at(9'000));
  CHECK_FALSE(Policy.voterToRemove(Members, "a", at(9'000)).has_value());
}
