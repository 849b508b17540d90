// Messages between replicas and their wire encoding.

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

/// Microseconds on the clock of the instance that created the timestamp. Other
/// instances only echo it, because clocks are not synchronized.
using timestamp = std::int64_t;

inline timestamp toTimestamp(base::instant Time) {
  return Time.time_since_epoch().count();
}

inline base::instant toInstant(timestamp Stamp) {
  return base::instant(base::duration(Stamp));
}

enum class entry_kind : std::uint8_t { Noop, Command, Configuration };

/// A log entry. The payload is a command, an encoded configuration, or empty
/// for Noop.
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
  /// Asks whether the receiver would grant a vote, without changing its state.
  bool PreVote = false;
  /// The leader requested this election to transfer leadership.
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
  /// On success, the last index known to match the leader's log; otherwise the
  /// last index that may match.
  log_index MatchIndex = 0;
  timestamp SentAt = 0;

  MSGPACK_DEFINE(Success, MatchIndex, SentAt)
  friend auto operator<=>(const append_response &,
                          const append_response &) = default;
};

struct heartbeat_request {
  /// Commit index, limited to the entries that the follower is known to hold on
  /// the storage FollowerStorageId.
  log_index Commit = 0;
  std::string FollowerStorageId;
  timestamp SentAt = 0;
  /// Response to the follower's last request for a quorum proof: the request's
  /// timestamp, the age of the leader's proof in microseconds, and the commit
  /// index that the proof covers.
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
  /// Time of the follower's request for a quorum proof, on its own clock.
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
  /// Bytes received so far.
  std::uint64_t Received = 0;
  bool Installed = false;
  timestamp SentAt = 0;

  MSGPACK_DEFINE(Index, Received, Installed, SentAt)
  friend auto operator<=>(const snapshot_response &,
                          const snapshot_response &) = default;
};

/// Tells the receiver to start an election immediately (leadership transfer).
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

/// Reply to bootstrap_probe. The cluster id of the enclosing message is empty
/// if the sender's data folder is.
struct bootstrap_reply {
  /// Storage id of the instance that sent the probe.
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

/// A message with the header fields that every receiver checks first.
struct message {
  /// Empty until the sender belongs to a cluster.
  std::string ClusterId;
  replica_id From;
  replica_id To;
  /// Storage id of the sender.
  std::string StorageId;
  log_term Term = 0;
  message_body Body;

  friend auto operator<=>(const message &, const message &) = default;
};

std::string encode(const message &Message);
/// Fails with BadRequest unless \p Bytes are exactly one well-formed message.
base::result<message> decodeMessage(std::string_view Bytes);

std::string encode(const configuration &Members);
base::result<configuration> decodeConfiguration(std::string_view Bytes);

std::string encode(const entry &Entry);
base::result<entry> decodeEntry(std::string_view Bytes);

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_MESSAGES_H
