// The messages between replicas and their encoding on the wire.

#ifndef FULMAR_CONSENSUS_MESSAGES_H
#define FULMAR_CONSENSUS_MESSAGES_H

#include "fulmar/base/result.h"
#include "fulmar/consensus/consensustypes.h"

#include <msgpack.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fulmar::consensus {

/// Microseconds on the clock of the instance that first wrote the stamp. Other
/// instances only echo it.
using timestamp = std::int64_t;

inline timestamp toTimestamp(base::instant Time) {
  return Time.time_since_epoch().count();
}

inline base::instant toInstant(timestamp Stamp) {
  return base::instant(base::duration(Stamp));
}

enum class entry_kind : std::uint8_t { Noop, Command, Configuration };

/// A log entry. The payload is a command or an encoded configuration.
struct entry {
  log_index Index = 0;
  log_term Term = 0;
  std::uint8_t Kind = 0;
  std::string Payload;

  [[nodiscard]] entry_kind kind() const {
    return static_cast<entry_kind>(Kind);
  }

  MSGPACK_DEFINE(Index, Term, Kind, Payload)
  friend auto operator<=>(const entry &, const entry &) = default;
};

struct vote_request {
  log_index LastIndex = 0;
  log_term LastTerm = 0;
  /// Asks whether a vote would be granted; changes nothing at the receiver.
  bool PreVote = false;
  /// The leader asked for this election.
  bool Transfer = false;

  MSGPACK_DEFINE(LastIndex, LastTerm, PreVote, Transfer)
  friend auto operator<=>(const vote_request &, const vote_request &) = default;
};

struct vote_response {
  bool PreVote = false;
  bool Granted = false;

  MSGPACK_DEFINE(PreVote, Granted)
  friend auto operator<=>(const vote_response &,
                          const vote_response &) = default;
};

struct append_request {
  log_index PrevIndex = 0;
  log_term PrevTerm = 0;
  std::vector<entry> Entries;
  log_index Commit = 0;
  timestamp SentAt = 0;

  MSGPACK_DEFINE(PrevIndex, PrevTerm, Entries, Commit, SentAt)
  friend auto operator<=>(const append_request &,
                          const append_request &) = default;
};

struct append_response {
  bool Success = false;
  /// Last index that matches the leader's log; after a refusal, the last index
  /// that may match.
  log_index MatchIndex = 0;
  timestamp SentAt = 0;

  MSGPACK_DEFINE(Success, MatchIndex, SentAt)
  friend auto operator<=>(const append_response &,
                          const append_response &) = default;
};

struct heartbeat_request {
  /// Committed entries that the follower is known to hold on FollowerStorageId.
  log_index Commit = 0;
  std::string FollowerStorageId;
  timestamp SentAt = 0;
  /// Answers the follower's last question: its stamp, the age of the leader's
  /// quorum proof, and the commit index that the proof covers.
  std::optional<timestamp> ProofRequestedAt;
  std::int64_t ProofAge = 0;
  log_index ProofCommit = 0;

  MSGPACK_DEFINE(Commit, FollowerStorageId, SentAt, ProofRequestedAt, ProofAge,
                 ProofCommit)
  friend auto operator<=>(const heartbeat_request &,
                          const heartbeat_request &) = default;
};

struct heartbeat_response {
  timestamp SentAt = 0;
  /// When the follower asked for a quorum proof, on its own clock.
  timestamp ProofRequestedAt = 0;

  MSGPACK_DEFINE(SentAt, ProofRequestedAt)
  friend auto operator<=>(const heartbeat_response &,
                          const heartbeat_response &) = default;
};

struct snapshot_request {
  log_index Index = 0;
  log_term LastTerm = 0;
  configuration Members;
  std::uint64_t Offset = 0;
  std::uint64_t Total = 0;
  std::string Data;
  timestamp SentAt = 0;

  MSGPACK_DEFINE(Index, LastTerm, Members, Offset, Total, Data, SentAt)
  friend auto operator<=>(const snapshot_request &,
                          const snapshot_request &) = default;
};

struct snapshot_response {
  log_index Index = 0;
  /// Bytes held so far.
  std::uint64_t Received = 0;
  bool Installed = false;
  timestamp SentAt = 0;

  MSGPACK_DEFINE(Index, Received, Installed, SentAt)
  friend auto operator<=>(const snapshot_response &,
                          const snapshot_response &) = default;
};

/// Tells the receiver to start an election at once.
struct timeout_now {
  MSGPACK_DEFINE()
  friend auto operator<=>(const timeout_now &, const timeout_now &) = default;
};

/// Asks an initial voter whether its data folder is empty.
struct bootstrap_probe {
  MSGPACK_DEFINE()
  friend auto operator<=>(const bootstrap_probe &,
                          const bootstrap_probe &) = default;
};

/// The envelope's cluster id is empty when the data folder is.
struct bootstrap_reply {
  /// The disk that asked.
  std::string ProberStorageId;

  MSGPACK_DEFINE(ProberStorageId)
  friend auto operator<=>(const bootstrap_reply &,
                          const bootstrap_reply &) = default;
};

using message_body =
    std::variant<vote_request, vote_response, append_request, append_response,
                 heartbeat_request, heartbeat_response, snapshot_request,
                 snapshot_response, timeout_now, bootstrap_probe,
                 bootstrap_reply>;

/// A message with what every receiver checks first.
struct message {
  /// Empty while the sender belongs to no cluster.
  std::string ClusterId;
  replica_id From;
  replica_id To;
  /// The sender's disk.
  std::string StorageId;
  log_term Term = 0;
  message_body Body;

  friend auto operator<=>(const message &, const message &) = default;
};

std::string encode(const message &Message);
/// Fails with BadRequest on anything but a whole, well-formed message.
base::result<message> decodeMessage(std::string_view Bytes);

std::string encode(const configuration &Members);
base::result<configuration> decodeConfiguration(std::string_view Bytes);

std::string encode(const entry &Entry);
base::result<entry> decodeEntry(std::string_view Bytes);

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_MESSAGES_H
