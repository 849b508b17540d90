// Value types of the replicated log: membership, roles, options and status.

#ifndef FULMAR_CONSENSUS_CONSENSUSTYPES_H
#define FULMAR_CONSENSUS_CONSENSUSTYPES_H

#include "fulmar/base/baseerrors.h"
#include "fulmar/base/time.h"
#include "fulmar/consensus/istatemachine.h"

#include <msgpack.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::consensus {

using log_term = std::uint64_t;
/// Unique name of an instance that replicates the log.
using replica_id = std::string;

/// An instance and the storage with which it joined. An instance that lost its
/// disk restarts with a new storage id and no longer matches its entry in the
/// configuration.
struct member {
  replica_id Id;
  std::string StorageId;

  MSGPACK_DEFINE(Id, StorageId)
  friend auto operator<=>(const member &, const member &) = default;
};

/// The cluster membership in effect at one log index.
struct configuration {
  std::vector<member> Voters;
  /// Receive the log but have no vote. The leader promotes a learner to voter
  /// once it holds all committed entries.
  std::vector<member> Learners;
  /// True once every initial voter has joined. Until then, commands are
  /// rejected.
  bool Formed = false;

  MSGPACK_DEFINE(Voters, Learners, Formed)
  friend auto operator<=>(const configuration &,
                          const configuration &) = default;
};

/// Returns how many of \p Voters voters form a majority.
constexpr std::size_t quorumOf(std::size_t Voters) { return Voters / 2 + 1; }

/// Returns how many of \p Voters voters may lose their disks at once so that
/// the others can still elect a leader, and one of them holds each committed
/// entry. A voter that lost its disk has no vote until the others readmit it.
constexpr std::size_t survivableDiskLosses(std::size_t Voters) {
  return Voters == 0 ? 0 : Voters - quorumOf(Voters);
}

enum class role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// Returns the name of \p Role as shown in logs and status output.
const char *nameOf(role Role);

/// Settings of a replica, independent of its storage.
struct replica_options {
  replica_id Id;
  /// Forms a new cluster if the data folder is empty and every other initial
  /// voter confirms that its own is empty too. If false, an instance with an
  /// empty folder waits until a leader adds it. Only the instance with the
  /// smallest id in InitialVoters acts on this flag, so all instances can have
  /// the same settings.
  bool Bootstrap = false;
  /// All voters of a new cluster, including this instance.
  std::vector<replica_id> InitialVoters;
  base::duration HeartbeatInterval = std::chrono::milliseconds(150);
  base::duration ElectionTimeoutMin = std::chrono::milliseconds(600);
  base::duration ElectionTimeoutMax = std::chrono::milliseconds(1200);
  /// Maximum delay between pre-votes from the start until the first contact
  /// with a leader; values above ElectionTimeoutMax have no effect. A short
  /// delay doesn't disrupt an active leader, because its followers reject the
  /// pre-vote.
  base::duration InitialElectionTimeoutMax = ElectionTimeoutMax;
  std::size_t MaxBatchBytes = std::size_t(1) << 18;
  std::size_t MaxBatchEntries = 256;
  /// Maximum number of unacknowledged batches per follower.
  std::size_t MaxInFlight = 8;
  std::size_t SnapshotChunkBytes = std::size_t(1) << 18;
  /// Entries before the snapshot that stay in memory, so that followers that
  /// lag behind don't need the whole snapshot.
  std::size_t TrailingEntries = 512;
  /// Seed of the random generator. Must be unpredictable and different at every
  /// start, because storage and cluster ids are generated from it.
  std::uint64_t Seed = 0;
};

/// Settings of the replicated log.
struct replicated_log_options {
  replica_options Replica;
  std::string Folder;
  /// Number of applied entries between snapshots.
  std::uint64_t SnapshotIntervalEntries = 1000;
  std::uint64_t SegmentBytes = std::uint64_t(8) << 20;
  /// Time for which proposals are rejected after a write found the disk full.
  base::duration FullDiskRetryDelay = std::chrono::seconds(1);
};

/// Identifies a pending proposal, read or membership change.
using ticket = std::uint64_t;

/// The outcome of a proposal, read or membership change.
struct completion {
  ticket Ticket = 0;
  /// Reply from the state machine; empty for reads and membership changes.
  std::string Reply;
  /// StorageFull and NotLeader: the request had no effect. NoQuorum: leadership
  /// was lost, so the outcome is unknown.
  std::optional<base::error> Error;

  friend auto operator<=>(const completion &, const completion &) = default;
};

/// An encoded message for another instance.
struct outgoing_message {
  replica_id To;
  std::string Bytes;

  friend auto operator<=>(const outgoing_message &,
                          const outgoing_message &) = default;
};

/// A change of role or of the known leader.
struct role_change {
  role Role = role::Follower;
  log_term Term = 0;
  /// Empty when unknown.
  replica_id Leader;

  friend auto operator<=>(const role_change &, const role_change &) = default;
};

/// What the caller of replicated_log::flush() has to send and complete.
struct flush_result {
  std::vector<outgoing_message> Messages;
  std::vector<completion> Completions;
  std::vector<role_change> RoleChanges;
  /// If set, the process must exit: the journal or the state may be
  /// inconsistent.
  std::optional<base::error> Fatal;
};

struct log_status {
  replica_id Id;
  /// Empty until the instance belongs to a cluster.
  std::string ClusterId;
  /// Storage id of this instance. The instance has a vote only if Members lists
  /// it as a voter with this storage id.
  std::string StorageId;
  role Role = role::Follower;
  log_term Term = 0;
  /// Empty when unknown.
  replica_id Leader;
  log_index LastIndex = 0;
  log_index Commit = 0;
  log_index Applied = 0;
  log_index LastSnapshot = 0;
  configuration Members;
  /// Age of the newest quorum proof that covers the state applied here; empty
  /// if there is none. See replica.h for quorum proofs.
  std::optional<base::duration> ProofAge;
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_CONSENSUSTYPES_H
