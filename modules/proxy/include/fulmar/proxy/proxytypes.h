// Value types of the proxy: how bodies are framed, how input and output end,
// what is observed of targets, what a service's policy says.

#ifndef FULMAR_PROXY_PROXYTYPES_H
#define FULMAR_PROXY_PROXYTYPES_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/time.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar::proxy {

/// How an operation on a connection ended.
enum class io_status : std::uint8_t {
  Done,
  TimedOut,
  /// The peer closed its side in an orderly way.
  Closed,
  /// The connection broke.
  Failed,
};

/// How the end of a message body is marked.
enum class framing_kind : std::uint8_t { None, Fixed, Chunked, UntilClose };

struct body_framing {
  framing_kind Kind = framing_kind::None;
  /// Meaningful for Fixed only.
  std::uint64_t Length = 0;

  friend auto operator<=>(const body_framing &, const body_framing &) = default;
};

enum class body_state : std::uint8_t {
  /// Piece holds bytes of the body.
  Data,
  /// The body is complete.
  End,
  /// No further byte has arrived yet.
  Waiting,
  /// The peer ended its input before the body was complete.
  Truncated,
  /// The transfer coding is not valid.
  Malformed,
};

struct body_piece {
  body_state State = body_state::Waiting;
  /// Valid until the next read from the connection.
  std::string_view Bytes;
};

/// What one service asks of the proxy.
struct service_policy {
  /// Bounds the time that a caller may ask for.
  base::duration Timeout = std::chrono::seconds(30);
  std::uint64_t MaxBodyBytes = std::uint64_t{1} << 40;
  /// Treats every method as idempotent.
  bool AllIdempotent = false;

  friend auto operator<=>(const service_policy &,
                          const service_policy &) = default;
};

/// What the headers of a target's answer say about the target.
struct target_observation {
  base::target_id Target;
  /// The incarnation that the request was meant for.
  std::string Believed;
  /// The incarnation that the answer named.
  std::optional<std::string> Incarnation;
  /// 0 idle to 1 full.
  std::optional<double> Load;

  friend auto operator<=>(const target_observation &,
                          const target_observation &) = default;
};

/// A request that a graceful stop still waits for.
struct remaining_request {
  std::string Peer;
  std::string Method;
  std::string Path;
  base::instant Since{};

  friend auto operator<=>(const remaining_request &,
                          const remaining_request &) = default;
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_PROXYTYPES_H
