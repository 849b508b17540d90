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
/// Name of an instance that takes part in the replicated log.
using replica_id = std::string;

/// An instance together with the disk that it was admitted with. An instance
/// that lost its disk comes back with another storage id, and is then not the
/// member that the configuration lists.
struct member {
  replica_id Id;
  std::string StorageId;

  MSGPACK_DEFINE(Id, StorageId)
  friend auto operator<=>(const member &, const member &) = default;
};

/// The members at one position of the log.
struct configuration {
  std::vector<member> Voters;
  /// Receive the log but don't count; promoted once they hold everything.
  std::vector<member> Learners;
  /// False until every initial voter has been admitted; nothing is accepted
  /// before.
  bool Formed = false;

  MSGPACK_DEFINE(Voters, Learners, Formed)
  friend auto operator<=>(const configuration &,
                          const configuration &) = default;
};

enum class role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// Name of \p Role for logs and status.
const char *nameOf(role Role);

/// Settings of the pure replica.
struct replica_options {
  replica_id Id;
  /// Forms a new cluster when the data folder is empty and every other initial
  /// voter confirms that its own is empty too. Without it an instance with an
  /// empty folder waits to be admitted. Only the smallest id of InitialVoters
  /// acts on it, so that all instances may be given the same settings.
  bool Bootstrap = false;
  /// All voters of a new cluster, this instance included.
  std::vector<replica_id> InitialVoters;
  base::duration HeartbeatInterval = std::chrono::milliseconds(150);
  base::duration ElectionTimeoutMin = std::chrono::milliseconds(600);
  base::duration ElectionTimeoutMax = std::chrono::milliseconds(1200);
  /// Longest wait between two pre-votes until a first leader is seen after a
  /// start; ElectionTimeoutMax when longer. A leader that lives is not
  /// disturbed by it: the others refuse the pre-vote.
  base::duration InitialElectionTimeoutMax = ElectionTimeoutMax;
  std::size_t MaxBatchBytes = std::size_t(1) << 18;
  std::size_t MaxBatchEntries = 256;
  /// Batches sent to one follower without an answer.
  std::size_t MaxInFlight = 8;
  std::size_t SnapshotChunkBytes = std::size_t(1) << 18;
  /// Entries kept in memory behind a snapshot for followers that lag.
  std::size_t TrailingEntries = 512;
  /// Must be unpredictable and differ at every start: storage and cluster ids
  /// are drawn from it.
  std::uint64_t Seed = 0;
};

/// Settings of the replicated log.
struct replicated_log_options {
  replica_options Replica;
  std::string Folder;
  /// Applied entries between two snapshots.
  std::uint64_t SnapshotIntervalEntries = 1000;
  std::uint64_t SegmentBytes = std::uint64_t(8) << 20;
  /// Time for which proposals are refused after the disk was found full.
  base::duration FullDiskRetryDelay = std::chrono::seconds(1);
};

/// Names a proposal or a read until it is finished.
using ticket = std::uint64_t;

/// A proposal or read that has come to its end.
struct completion {
  ticket Ticket = 0;
  /// Reply of the state machine; empty for reads and membership changes.
  std::string Reply;
  /// StorageFull and NotLeader: nothing was accepted. NoQuorum: leadership was
  /// lost before the outcome was known.
  std::optional<base::error> Error;

  friend auto operator<=>(const completion &, const completion &) = default;
};

/// Bytes for another instance.
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

/// What the shell has to do after a flush.
struct flush_result {
  std::vector<outgoing_message> Messages;
  std::vector<completion> Completions;
  std::vector<role_change> RoleChanges;
  /// The process must exit: the journal or the state can't be trusted.
  std::optional<base::error> Fatal;
};

struct log_status {
  replica_id Id;
  /// Empty while the instance belongs to no cluster.
  std::string ClusterId;
  /// This instance's disk; it counts only where Members lists it as a voter.
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
  /// Age of the newest moment at which a quorum is known to have stood behind
  /// a state that is fully applied here; empty when there is none.
  std::optional<base::duration> ProofAge;
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_CONSENSUSTYPES_H
