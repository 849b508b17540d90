// The leader's view of the replication progress of another member.

#ifndef FULMAR_CONSENSUS_PEER_H
#define FULMAR_CONSENSUS_PEER_H

#include "fulmar/base/time.h"
#include "fulmar/consensus/messages.h"
#include "fulmar/consensus/snapshot.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace fulmar::consensus {

enum class peer_mode : std::uint8_t {
  /// Sends one batch at a time until the logs are known to match.
  Probe,
  /// Pipelines batches without waiting for each response.
  Replicate,
  /// Sends a snapshot, one chunk at a time.
  Snapshot,
};

struct peer {
  /// Storage id in the last response; MatchIndex refers to this storage. Empty
  /// before the first response.
  std::string StorageId;
  peer_mode Mode = peer_mode::Probe;
  /// Every entry up to and including MatchIndex is durable at the peer.
  log_index MatchIndex = 0;
  /// Index of the next entry to send; always greater than MatchIndex.
  log_index NextIndex = 1;
  /// Number of unacknowledged requests.
  std::size_t InFlight = 0;
  /// Time at which the last append or snapshot request was sent.
  base::instant LastSent{};
  /// Snapshot in transfer, and the number of its bytes that the peer holds.
  std::shared_ptr<const snapshot> OutgoingSnapshot;
  std::uint64_t SnapshotOffset = 0;
  /// Send time of the newest request that the peer has responded to.
  std::optional<base::instant> LastAckedSentAt;
  /// Time of the peer's last request for a quorum proof, on the peer's clock.
  std::optional<timestamp> ProofRequestedAt;

  /// Returns to probing from the last known match.
  void restartProbing() {
    Mode = peer_mode::Probe;
    NextIndex = MatchIndex + 1;
    InFlight = 0;
    OutgoingSnapshot.reset();
  }
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_PEER_H
