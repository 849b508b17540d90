// One member of the replicated log as a deterministic state machine: Raft with
// pre-votes, leader stickiness, single-voter membership changes, learners,
// leadership transfer and quorum proofs. It takes messages and the current
// time, and returns what to persist, send and apply. It does no I/O.
//
// A member is an instance id with a storage id, which is generated when the
// data folder is created. Votes and acknowledgements count only for the storage
// id in the configuration, so an instance that lost its disk has no vote even
// though its id is still listed. The leader replaces it with a learner on the
// new storage and promotes that learner once it holds all committed entries.
//
// A new cluster starts with a single voter, the smallest id of the initial
// voters, after every other initial voter has replied that its folder is empty.
// The others then join like any new member. Commands are accepted once all of
// them are voters.
//
// A quorum proof is the send time of a request that a quorum has acknowledged
// in the leader's term: no other leader had committed anything before that
// time. A follower sends its own time with each response. The leader echoes
// that timestamp together with the age of its proof, and the follower dates the
// proof at timestamp minus age. No instance compares its clock with another's.

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

/// Persistent state that a replica restarts from.
struct replica_state {
  hard_state HardState;
  std::shared_ptr<const snapshot> Snapshot;
  /// Entries after the snapshot.
  std::vector<entry> Entries;
};

/// Pending work of a replica. HardState, Installed and Entries must be durable
/// before the rest is processed.
struct replica_outputs {
  std::optional<hard_state> HardState;
  /// Replaces the whole log and state.
  std::shared_ptr<const snapshot> Installed;
  /// Replace all stored entries from the index of the first one on.
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

  /// Appends a command. Fails with NotLeader if this instance doesn't lead or
  /// can't accept commands yet; the error message is the leader's id, or empty
  /// if the caller can't be redirected.
  base::result<log_index> propose(std::string Command, base::instant Now);
  /// Adds a learner, which is promoted once it holds all committed entries.
  base::result<log_index> addMember(const replica_id &Added, base::instant Now);
  base::result<log_index> removeMember(const replica_id &Removed,
                                       base::instant Now);
  /// Transfers leadership to \p Target or, if that is empty, to the voter with
  /// the highest match index.
  base::result<void> transferLeadership(const replica_id &Target,
                                        base::instant Now);

  /// Returns the pending work. Call confirmPersisted() or discardUnpersisted()
  /// before passing any other event.
  replica_outputs takeOutputs();
  /// Reports that everything from the last takeOutputs() is durable.
  void confirmPersisted(base::instant Now);
  /// Reports that the entries from the last takeOutputs() could not be stored.
  /// They are dropped, which is safe because none of them has been sent or
  /// acknowledged yet.
  void discardUnpersisted();
  /// Reports that \p Snapshot is stored, so entries before it can be dropped.
  void compact(std::shared_ptr<const snapshot> Snapshot);
  /// Sends heartbeats immediately to obtain a newer quorum proof.
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
  /// Returns the time of the newest quorum proof that covers the entries
  /// returned by takeOutputs() so far.
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
  /// Returns the latest time at which Commit is proven to have been the newest
  /// commit index of the cluster; leaders only.
  [[nodiscard]] std::optional<base::instant>
  commitProvedAt(base::instant Now) const;
  void continueTransfer(base::instant Now);

  // Membership changes and bootstrap.
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
  /// Snapshot received from the leader; set until it is persisted.
  std::shared_ptr<const snapshot> Installed;
  base::instant StartedAt;

  role Role = role::Follower;
  replica_id Leader;
  log_index Commit = 0;
  /// Last entry that takeOutputs() returned as committed; at most
  /// PersistedIndex.
  log_index DeliveredIndex = 0;
  /// Last durable entry. Leaders neither send later entries nor count them
  /// towards a quorum.
  log_index PersistedIndex = 0;

  base::instant ElectionDeadline{};
  std::optional<base::instant> LeaderSeenAt;
  std::set<replica_id> Votes;

  // Leader only.
  std::map<replica_id, peer> Peers;
  /// Index of the first entry of this leader's term.
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
  /// Takes effect once DeliveredIndex reaches its CommitIndex.
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

  // Bootstrap.
  std::set<replica_id> EmptyInitialVoters;
  std::optional<base::instant> ProbedAt;

  std::vector<message> Messages;
  std::vector<role_change> RoleChanges;
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_REPLICA_H
