// What a leader knows of another member.

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
  /// One batch at a time until the logs are known to match.
  Probe,
  /// Batches are sent without waiting for each answer.
  Replicate,
  /// A snapshot is sent, one chunk at a time.
  Snapshot,
};

struct peer {
  /// The disk that answered last; Match speaks of it. Empty before the first
  /// answer.
  std::string StorageId;
  peer_mode Mode = peer_mode::Probe;
  /// Every entry up to Match is durable at the peer.
  log_index MatchIndex = 0;
  /// Always above Match.
  log_index NextIndex = 1;
  /// Requests without an answer.
  std::size_t InFlight = 0;
  /// When the last request was sent.
  base::instant LastSent{};
  /// Snapshot that is being sent, and the bytes the peer holds of it.
  std::shared_ptr<const snapshot> OutgoingSnapshot;
  std::uint64_t SnapshotOffset = 0;
  /// When the newest answered request was sent.
  std::optional<base::instant> LastAckedSentAt;
  /// The peer's last question for a quorum proof, on the peer's clock.
  std::optional<timestamp> ProofRequestedAt;

  /// Goes back to the last known match.
  void restartProbing() {
    Mode = peer_mode::Probe;
    NextIndex = MatchIndex + 1;
    InFlight = 0;
    OutgoingSnapshot.reset();
  }
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_PEER_H
