// Snapshots of the state machine, and the hard state of a replica.

#ifndef FULMAR_CONSENSUS_SNAPSHOT_H
#define FULMAR_CONSENSUS_SNAPSHOT_H

#include "fulmar/base/result.h"
#include "fulmar/consensus/consensustypes.h"

#include <compare>
#include <string>
#include <string_view>

namespace fulmar::consensus {

/// State of the state machine and the configuration at one log index.
struct snapshot {
  log_index Index = 0;
  log_term Term = 0;
  configuration Members;
  /// Encoded state of the state machine.
  std::string State;

  MSGPACK_DEFINE(Index, Term, Members, State)
  friend auto operator<=>(const snapshot &, const snapshot &) = default;
};

std::string encode(const snapshot &Snapshot);
base::result<snapshot> decodeSnapshot(std::string_view Bytes);

/// State that a replica must persist in addition to its log.
struct hard_state {
  std::string ClusterId;
  std::string StorageId;
  log_term Term = 0;
  /// Candidate that received this replica's vote in Term; empty if none did.
  replica_id Vote;

  MSGPACK_DEFINE(ClusterId, StorageId, Term, Vote)
  friend auto operator<=>(const hard_state &, const hard_state &) = default;
};

std::string encode(const hard_state &State);
base::result<hard_state> decodeHardState(std::string_view Bytes);

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_SNAPSHOT_H
