// Tests of a single replica that depend on an exact order of messages.

#include "fulmar/consensus/replica.h"

#include "fulmar/testing/property.h"

#include <algorithm>

using namespace fulmar;
using namespace fulmar::consensus;

namespace {

const configuration Members{.Voters = {{"a", "1"}, {"b", "2"}, {"c", "3"}},
                            .Learners = {{"d", "4"}},
                            .Formed = true};

/// Replica "a" in term 3, with a configuration entry of term 1 and a command of
/// term 2.
replica makeReplica() {
  const auto Kind = [](entry_kind Given) {
    return static_cast<std::uint8_t>(Given);
  };
  return replica(
      {.Id = "a", .TrailingEntries = 0, .Seed = 1},
      {.HardState = {"cluster", "1", 3, ""},
       .Entries = {{1, 1, Kind(entry_kind::Configuration), encode(Members)},
                   {2, 2, Kind(entry_kind::Command), "command"}}},
      base::instant());
}

class replica_driver {
public:
  replica Replica = makeReplica();
  base::instant Now{};

  void receive(log_term Term, message_body Body, const replica_id &From = "b",
               const std::string &StorageId = "2") {
    Replica.receive({"cluster", From, "a", StorageId, Term, std::move(Body)},
                    Now);
  }

  replica_outputs takeAndPersist() {
    replica_outputs Ready = Replica.takeOutputs();
    Replica.confirmPersisted(Now);
    return Ready;
  }

  void becomeLeader() {
    Now += std::chrono::seconds(2);
    Replica.tick(Now);
    receive(4, vote_response{.PreVote = true, .Granted = true});
    receive(4, vote_response{.Granted = true});
    (void)takeAndPersist();
  }
};

} // namespace

TEST_GROUP(Replica){};

TEST(Replica, leaderCommitsEarlierTermsOnlyWithAnEntryOfItsOwnTerm) {
  replica_driver Driver;
  Driver.becomeLeader();
  CHECK(Driver.Replica.currentRole() == role::Leader);
  const timestamp Sent = toTimestamp(Driver.Now);
  Driver.Now += std::chrono::milliseconds(100);
  Driver.receive(4, append_response{true, 2, Sent});
  CHECK_EQUAL(0, Driver.Replica.commitIndex());
  CHECK(!Driver.Replica.provedAt(Driver.Now).has_value());
  Driver.receive(4, append_response{true, 3, Sent});
  CHECK_EQUAL(3, Driver.Replica.commitIndex());
  CHECK_EQUAL(3, Driver.takeAndPersist().Committed.size());
  // The proof is dated at the send time of the request, not at the response.
  CHECK(Driver.Replica.provedAt(Driver.Now) == toInstant(Sent));
}

TEST(Replica, responsesFromAnotherDiskAreNotCounted) {
  replica_driver Driver;
  Driver.becomeLeader();
  const timestamp Sent = toTimestamp(Driver.Now);
  Driver.receive(4, append_response{true, 3, Sent}, "b", "other");
  CHECK_EQUAL(0, Driver.Replica.commitIndex());
  Driver.receive(4, append_response{true, 3, Sent}, "c", "3");
  CHECK_EQUAL(3, Driver.Replica.commitIndex());
}

TEST(Replica, learnerIsPromotedOnlyOnceItHoldsAllCommittedEntries) {
  replica_driver Driver;
  Driver.becomeLeader();
  const timestamp Sent = toTimestamp(Driver.Now);
  Driver.receive(4, append_response{true, 3, Sent});
  CHECK_EQUAL(3, Driver.Replica.commitIndex());
  Driver.receive(4, heartbeat_response{Sent, 0}, "d", "4");
  Driver.receive(4, append_response{true, 2, Sent}, "d", "4");
  Driver.Replica.tick(Driver.Now);
  CHECK(Driver.Replica.members() == Members);
  Driver.receive(4, append_response{true, 3, Sent}, "d", "4");
  Driver.Replica.tick(Driver.Now);
  CHECK_EQUAL(4, Driver.Replica.members().Voters.size());
  CHECK(Driver.Replica.members().Learners.empty());
}

TEST(Replica, grantsOneVotePerTermAndPersistsItBeforeSending) {
  replica_driver Driver;
  // Persist the new term first, so that only the vote is left to persist.
  Driver.receive(5, vote_request{.LastIndex = 1, .LastTerm = 1});
  (void)Driver.takeAndPersist();
  const vote_request Request{.LastIndex = 9, .LastTerm = 3};
  Driver.receive(5, Request);
  const replica_outputs First = Driver.takeAndPersist();
  CHECK(First.HardState.has_value());
  CHECK(First.HardState->Vote == "b");
  CHECK(std::get<vote_response>(First.Messages.front().Body).Granted);
  Driver.receive(5, Request, "c", "3");
  const replica_outputs Second = Driver.takeAndPersist();
  CHECK(!std::get<vote_response>(Second.Messages.front().Body).Granted);
}

TEST(Replica, candidateWithAnOlderLogGetsNoVote) {
  replica_driver Driver;
  Driver.receive(5, vote_request{.LastIndex = 9, .LastTerm = 1});
  Driver.receive(5, vote_request{.LastIndex = 1, .LastTerm = 2});
  for (const message &Answer : Driver.takeAndPersist().Messages)
    CHECK(!std::get<vote_response>(Answer.Body).Granted);
}

TEST(Replica, lateAppendResponseDoesNotStopASnapshotTransfer) {
  replica_driver Driver;
  Driver.becomeLeader();
  const timestamp Sent = toTimestamp(Driver.Now);
  Driver.receive(4, append_response{true, 3, Sent});
  (void)Driver.takeAndPersist();
  Driver.Replica.compact(std::make_shared<snapshot>(
      snapshot{.Index = 3, .Term = 4, .Members = Members, .State = "state"}));
  Driver.receive(4, append_response{false, 0, Sent}, "c", "3");
  Driver.receive(4, append_response{true, 1, Sent}, "c", "3");
  (void)Driver.takeAndPersist();
  Driver.Now += std::chrono::milliseconds(500);
  Driver.Replica.tick(Driver.Now);
  const auto Messages = Driver.takeAndPersist().Messages;
  CHECK(std::any_of(Messages.begin(), Messages.end(), [](const auto &Message) {
    return Message.To == "c" &&
           std::holds_alternative<snapshot_request>(Message.Body);
  }));
}

TEST(Replica, clusterIsFormedOnlyOnRepliesToTheCurrentDisk) {
  replica Empty({.Id = "a", .Bootstrap = true, .InitialVoters = {"a", "b"}}, {},
                base::instant());
  const auto Answer = [&](const std::string &ProberStorageId) {
    Empty.receive({"", "b", "a", "2", 0, bootstrap_reply{ProberStorageId}},
                  base::instant());
    return Empty.currentRole();
  };
  Empty.tick(base::instant());
  CHECK(Answer("earlier disk") == role::Follower);
  CHECK(Answer(Empty.storageId()) == role::Leader);
}

TEST(Replica, retriesALostAppendAfterADuplicateResponse) {
  replica_driver Driver;
  Driver.becomeLeader();
  const timestamp Sent = toTimestamp(Driver.Now);
  Driver.receive(4, append_response{true, 3, Sent});
  (void)Driver.takeAndPersist();
  CHECK(Driver.Replica.propose("next", Driver.Now).has_value());
  (void)Driver.takeAndPersist();
  (void)Driver.takeAndPersist();
  Driver.receive(4, append_response{true, 3, Sent});
  Driver.Now += std::chrono::milliseconds(500);
  Driver.Replica.tick(Driver.Now);
  const auto Messages = Driver.takeAndPersist().Messages;
  CHECK(std::any_of(Messages.begin(), Messages.end(), [](const auto &Message) {
    const auto *Request = std::get_if<append_request>(&Message.Body);
    return Message.To == "b" && Request != nullptr &&
           !Request->Entries.empty() && Request->Entries.front().Index == 4;
  }));
}

TEST(Replica, messagesFromAnotherClusterAreIgnored) {
  replica_driver Driver;
  Driver.Replica.receive(
      {"other", "b", "a", "2", 9, append_request{.SentAt = 1}}, Driver.Now);
  CHECK(Driver.takeAndPersist().Messages.empty());
  CHECK_EQUAL(3, Driver.Replica.term());
}

TEST(Replica, proofRequestedBeforeARestartIsIgnored) {
  replica_driver Driver;
  Driver.Now += std::chrono::seconds(1);
  Driver.receive(4,
                 heartbeat_request{.ProofRequestedAt = -5, .ProofCommit = 0});
  (void)Driver.takeAndPersist();
  CHECK(!Driver.Replica.provedAt(Driver.Now).has_value());
  Driver.receive(4, heartbeat_request{.ProofRequestedAt = 7, .ProofAge = 2});
  (void)Driver.takeAndPersist();
  CHECK(Driver.Replica.provedAt(Driver.Now) == toInstant(5));
}

TEST(Replica, arbitraryMessagesDoNotCrash) {
  fulmar::testing::checkProperty("arbitrary messages don't crash", [] {
    replica_driver Driver;
    const auto Small = [] { return *rc::gen::inRange<std::uint64_t>(0, 12); };
    const int Count = *rc::gen::inRange(0, 40);
    for (int I = 0; I < Count; ++I) {
      std::vector<entry> Entries;
      const log_index First = Small();
      for (log_index Index = First; Index < First + Small() % 4; ++Index)
        Entries.push_back({Index, Small(), std::uint8_t(Small() % 4), "x"});
      const timestamp Sent = toTimestamp(Driver.Now) - timestamp(Small() % 2);
      const std::vector<message_body> Bodies = {
          vote_request{Small(), Small(), Small() % 2 == 0, Small() % 2 == 0},
          vote_response{Small() % 2 == 0, Small() % 2 == 0},
          append_request{Small(), Small(), Entries, Small(), Sent},
          append_response{Small() % 2 == 0, Small(), Sent},
          heartbeat_request{.Commit = Small(), .FollowerStorageId = "1"},
          heartbeat_response{Sent, Sent},
          snapshot_request{Small(), Small(), Members, Small(), Small(), "ab"},
          snapshot_response{Small(), Small(), Small() % 2 == 0, Sent},
          timeout_now{}};
      Driver.Now += std::chrono::milliseconds(100 * Small());
      Driver.Replica.tick(Driver.Now);
      Driver.receive(3 + Small() % 6, Bodies[Small() % Bodies.size()],
                     Small() % 2 == 0 ? "b" : "c", std::to_string(Small() % 4));
      (void)Driver.takeAndPersist();
    }
  });
}
