// One member of the replicated log as a deterministic state machine: Raft with
// pre-votes, leader stickiness, single-voter membership changes, learners,
// leadership transfer and quorum proofs. It takes messages and the time, and
// returns what to persist, to send and to apply.
//
// A member is an id together with a storage id that is drawn when its data
// folder is created. Votes and acknowledgements count only for the storage
// that the configuration lists. An instance whose disk was lost therefore does
// not count, although its id is still listed: the leader replaces it by a
// learner on its new disk and promotes it once it holds everything committed.
//
// A new cluster starts as one voter, the smallest id of the initial voters,
// after every other initial voter has answered that its folder is empty. The
// others are admitted like any new member. Commands are accepted once all of
// them are voters.
//
// A quorum proof is the send time of a request that a quorum has answered in
// the leader's term: no other leader had committed anything by then. A
// follower sends its own time with each answer; the leader returns that stamp
// with the age of its proof, and the follower dates the proof at stamp minus
// age. No clock is compared with another instance's.

#ifndef FULMAR_CONSENSUS_REPLICA_H
#define FULMAR_CONSENSUS_REPLICA_H

#include "fulmar/base/random.h"
#include "fulmar/base/result.h"
#include "fulmar/base/time.h"
#include "fulmar/consensus/consensustypes.h"
#include "fulmar/consensus/messages.h"
#include "fulmar/consensus/peer.h"
#include "fulmar/consensus/raftlog.h"
#include "fulmar/consensus/snapshot.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmar::consensus {

/// What a replica stored before it was stopped.
struct replica_state {
  hard_state HardState;
  std::shared_ptr<const snapshot> Snapshot;
  /// Entries behind the snapshot.
  std::vector<entry> Entries;
};

struct replica_outputs {
  /// To be made durable together before anything below is acted upon.
  std::optional<hard_state> HardState;
  /// Replaces the whole log and state.
  std::shared_ptr<const snapshot> Installed;
  /// Replace whatever is stored from the first one's index on.
  std::vector<entry> Entries;

  std::vector<message> Messages;
  std::vector<entry> Committed;
  std::vector<role_change> RoleChanges;

  [[nodiscard]] bool empty() const {
    return !HardState && !Installed && Entries.empty() && Messages.empty() &&
           Committed.empty() && RoleChanges.empty();
  }
};

class replica {
public:
  replica(replica_options ReplicaOptions, replica_state Stored,
          base::instant Now);

  void tick(base::instant Now);
  void receive(const message &Message, base::instant Now);

  /// Appends a command. Fails with NotLeader, whose message is the leader's
  /// id; empty when unknown or when this leader can't accept commands yet.
  base::result<log_index> propose(std::string Command, base::instant Now);
  /// Adds a learner that is promoted once it holds everything committed.
  base::result<log_index> addMember(const replica_id &Added, base::instant Now);
  base::result<log_index> removeMember(const replica_id &Removed,
                                       base::instant Now);
  /// Hands leadership to \p Target, or to the voter that holds most.
  base::result<void> transferLeadership(const replica_id &Target,
                                        base::instant Now);

  /// What is to be done now. Call persisted() or discardUnpersisted() before
  /// any other event.
  replica_outputs takeOutputs();
  /// Everything that take() asked to store is durable.
  void confirmPersisted(base::instant Now);
  /// The entries that take() returned could not be stored. None of them has
  /// been sent or acknowledged to anyone, so they are dropped.
  void discardUnpersisted();
  /// The state up to the snapshot's index is stored as a snapshot.
  void compact(std::shared_ptr<const snapshot> Snapshot);
  /// Sends heartbeats at once, for a newer quorum proof.
  void requestProof(base::instant Now);

  [[nodiscard]] role currentRole() const { return Role; }
  [[nodiscard]] log_term term() const { return HardState.Term; }
  [[nodiscard]] const replica_id &leader() const { return Leader; }
  [[nodiscard]] const std::string &clusterId() const {
    return HardState.ClusterId;
  }
  [[nodiscard]] const std::string &storageId() const {
    return HardState.StorageId;
  }
  [[nodiscard]] log_index commitIndex() const { return Commit; }
  [[nodiscard]] const raft_log &log() const { return Log; }
  [[nodiscard]] const configuration &members() const { return Log.members(); }
  /// Newest moment at which a quorum is known to have stood behind the state
  /// that take() has returned so far.
  [[nodiscard]] std::optional<base::instant> provedAt(base::instant Now) const;

private:
  // Roles and elections.
  void setRole(role NewRole, const replica_id &NewLeader);
  void becomeFollower(log_term Term, const replica_id &NewLeader);
  void becomeLeader(base::instant Now);
  void resetElectionDeadline(base::instant Now);
  void startPreVote(base::instant Now);
  void startElection(bool Transfer, base::instant Now);
  void countVote(const message &Message, base::instant Now);
  [[nodiscard]] bool electable() const;
  [[nodiscard]] bool hasRecentLeader(base::instant Now) const;
  [[nodiscard]] bool isLogUpToDate(const vote_request &Request) const;
  void stepDownWithoutQuorum(base::instant Now);

  // Incoming messages.
  bool acceptClusterId(const message &Message);
  bool reconcileTerm(const message &Message, base::instant Now);
  void replyToStaleTerm(const message &Message);
  void followLeader(const replica_id &From, base::instant Now);
  void on(const message &Message, const vote_request &Body, base::instant Now);
  void on(const message &Message, const vote_response &Body, base::instant Now);
  void on(const message &Message, const append_request &Body,
          base::instant Now);
  void on(const message &Message, const append_response &Body,
          base::instant Now);
  void on(const message &Message, const heartbeat_request &Body,
          base::instant Now);
  void on(const message &Message, const heartbeat_response &Body,
          base::instant Now);
  void on(const message &Message, const snapshot_request &Body,
          base::instant Now);
  void on(const message &Message, const snapshot_response &Body,
          base::instant Now);
  void on(const message &Message, const timeout_now &Body, base::instant Now);
  void on(const message &Message, const bootstrap_probe &Body,
          base::instant Now);
  void on(const message &Message, const bootstrap_reply &Body,
          base::instant Now);

  // Replication.
  log_index appendEntry(entry_kind Kind, std::string Payload);
  void acceptEntries(const append_request &Body, log_index Prev);
  void sendAppends(const replica_id &To, peer &Peer, base::instant Now);
  void sendSnapshotChunk(const replica_id &To, peer &Peer, base::instant Now);
  void sendAllAppends(base::instant Now);
  void sendHeartbeats(base::instant Now);
  static void recordAppendSuccess(peer &Peer);
  void retryUnanswered(base::instant Now);
  void advanceCommit(base::instant Now);
  void installSnapshot(const snapshot_request &Body);
  peer *recordResponse(const message &Message, timestamp SentAt,
                       base::instant Now);
  [[nodiscard]] std::optional<base::instant>
  quorumAckedSentAt(base::instant Now) const;
  /// Moment up to which Commit is known to be the latest; leaders only.
  [[nodiscard]] std::optional<base::instant>
  commitProvedAt(base::instant Now) const;
  void continueTransfer(base::instant Now);

  // Membership and formation of a new cluster.
  base::result<log_index> changeMembers(const configuration &Members,
                                        base::instant Now);
  base::result<void> checkLeader() const;
  void maintainMembers(base::instant Now);
  [[nodiscard]] std::optional<configuration>
  nextMembers(base::instant Now) const;
  void syncPeers();
  void probeInitialVoters(base::instant Now);
  void formCluster(base::instant Now);

  [[nodiscard]] bool isSelf(const member &Member) const;
  void send(const replica_id &To, message_body Body);
  void sendAs(const replica_id &To, log_term Term, message_body Body);
  std::string generateId();

  replica_options Options;
  base::random_source Random;
  raft_log Log;
  hard_state HardState;
  bool HardStateDirty = false;
  /// Set until persisted.
  std::shared_ptr<const snapshot> Installed;
  base::instant StartedAt;

  role Role = role::Follower;
  replica_id Leader;
  log_index Commit = 0;
  /// Last entry that take() returned as committed; at most Persisted.
  log_index DeliveredIndex = 0;
  /// Last durable entry. Leaders send and count no later ones.
  log_index PersistedIndex = 0;

  base::instant ElectionDeadline{};
  std::optional<base::instant> LeaderSeenAt;
  std::set<replica_id> Votes;

  // Leader only.
  std::map<replica_id, peer> Peers;
  /// The entry that begins this leader's term.
  log_index TermStartIndex = 0;
  base::instant ElectedAt{};
  base::instant LastHeartbeat{};
  replica_id TransferTarget;
  base::instant TransferDeadline{};

  // Follower only.
  struct proof {
    base::instant At{};
    log_index CommitIndex = 0;
  };
  /// Becomes valid once Delivered reaches what it covers.
  std::optional<proof> PendingProof;
  std::optional<base::instant> FollowerProvedAt;

  struct incoming_snapshot {
    replica_id From;
    log_index Index = 0;
    log_term Term = 0;
    std::uint64_t Total = 0;
    std::string Data;
  };
  incoming_snapshot IncomingSnapshot;

  // Formation of a new cluster.
  std::set<replica_id> EmptyInitialVoters;
  std::optional<base::instant> ProbedAt;

  std::vector<message> Messages;
  std::vector<role_change> RoleChanges;
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_REPLICA_H
