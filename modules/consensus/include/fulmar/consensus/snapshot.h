// The state at one position of the log, with the members at that position.

#ifndef FULMAR_CONSENSUS_SNAPSHOT_H
#define FULMAR_CONSENSUS_SNAPSHOT_H

#include "fulmar/base/result.h"
#include "fulmar/consensus/consensustypes.h"

#include <compare>
#include <string>
#include <string_view>

namespace fulmar::consensus {

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

/// What a replica must keep besides its log.
struct hard_state {
  std::string ClusterId;
  std::string StorageId;
  log_term Term = 0;
  /// Empty when no vote was given in Term.
  replica_id Vote;

  MSGPACK_DEFINE(ClusterId, StorageId, Term, Vote)
  friend auto operator<=>(const hard_state &, const hard_state &) = default;
};

std::string encode(const hard_state &State);
base::result<hard_state> decodeHardState(std::string_view Bytes);

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_SNAPSHOT_H
