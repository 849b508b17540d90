// The closed list of error kinds and the single table that maps each kind to
// the answer a caller receives. No other place decides on a status code or on
// whether a refusal may claim that the request was not run.

#ifndef FULMAR_BASE_BASEERRORS_H
#define FULMAR_BASE_BASEERRORS_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar::base {

/// Every way in which an operation of the system can fail.
enum class error_kind : std::uint8_t {
  // Faults of the request itself; nothing was run.
  BadRequest,
  RequestTooLarge,
  UnknownService,
  UnknownMethod,
  Unauthorized,
  // The system can't take the request now; nothing was run.
  NoTarget,
  Saturated,
  StaleKnowledge,
  Quarantined,
  Stopping,
  DeadlinePassed,
  // Idempotency claims.
  ClaimInProgress,
  ClaimMismatch,
  // The request reached a target and its effect is not known.
  OutcomeUnknown,
  TargetTimeout,
  TruncatedAnswer,
  // Control plane.
  NotLeader,
  NoQuorum,
  Conflict,
  InvalidDocument,
  NotFound,
  // Infrastructure.
  Unreachable,
  Timeout,
  StorageFull,
  Corrupt,
  Internal,
  // Client accounts; nothing was run. The kinds above keep their numbers, which
  // are sent between instances.
  UnknownKey,
  UnprovedKey,
  QuotaExceeded,
  NoQuotaHolder,
};

/// Number of error kinds; the last one is NoQuotaHolder.
inline constexpr std::size_t ErrorKindCount =
    static_cast<std::size_t>(error_kind::NoQuotaHolder) + 1;

/// States whether any target may have executed the request.
enum class execution : std::uint8_t { NotRun, Unknown };

/// The answer that belongs to an error kind.
struct error_answer {
  error_kind Kind;
  /// Stable name on the wire, in logs and in metrics.
  std::string_view Name;
  /// HTTP status code towards callers.
  int HttpStatus;
  /// Error code of JSON-RPC answers between processes.
  int RpcCode;
  execution Execution;
  /// Default Retry-After in seconds; empty when a retry can't help.
  std::optional<std::chrono::seconds> RetryAfter;
};

/// Looks up the answer of \p Kind.
const error_answer &answerOf(error_kind Kind);

/// Finds the kind whose JSON-RPC code is \p Code; Internal when unknown.
error_kind kindOfRpcCode(int Code);

/// An error kind with a message for people. Never carries a secret.
struct error {
  error_kind Kind = error_kind::Internal;
  std::string Message;

  friend auto operator<=>(const error &, const error &) = default;
};

} // namespace fulmar::base

#endif // FULMAR_BASE_BASEERRORS_H
