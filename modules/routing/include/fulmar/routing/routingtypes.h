// Value types shared by the directory, the router and the proxy.

#ifndef FULMAR_ROUTING_ROUTINGTYPES_H
#define FULMAR_ROUTING_ROUTINGTYPES_H

#include "fulmar/base/baseerrors.h"
#include "fulmar/base/identifier.h"
#include "fulmar/base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::routing {

/// A target to which this instance may currently send requests.
struct candidate {
  base::target_id Target;
  /// In the form IP:PORT.
  std::string Address;
  base::data_centre_name DataCentre;
  /// Changes whenever the target restarts.
  std::string Incarnation;
  /// Number of requests that this instance may have in flight at the target:
  /// its share of the target's limit, granted by the target's leaseholder.
  std::uint32_t Granted = 0;
  /// Reported utilisation from 0 (idle) to 1 (full), and the age of the report.
  double ReportedLoad = 0;
  base::duration ReportAge{};

  friend auto operator<=>(const candidate &, const candidate &) = default;
};

/// Properties of a request that the router needs to pick a target.
struct request_profile {
  base::service_name Service;
  /// The method is GET, HEAD, OPTIONS, PUT or DELETE, or the policy of the
  /// service declares the request idempotent.
  bool Idempotent = false;
  /// The body is buffered, so that it can be sent again.
  bool Replayable = false;
  /// Empty unless sent by the caller.
  std::optional<std::string> IdempotencyKey;
  /// Digest of the idempotency key, or of method, path and body.
  std::uint64_t Fingerprint = 0;
  base::instant Deadline{};
  /// 0 is the highest priority.
  std::uint8_t Priority = 0;
  /// The caller or a level above has marked the request as a retry or a hedge
  /// (RetryHeader). Such a request is not retried at this level once an attempt
  /// has reached a target.
  bool MarkedAsRetry = false;

  friend auto operator<=>(const request_profile &,
                          const request_profile &) = default;
};

/// How an attempt ended, as far as the proxy can tell.
enum class attempt_end : std::uint8_t {
  /// A complete response was received.
  Answered,
  /// No connection was established and no byte was sent.
  NotConnected,
  /// The target reported that it did not start the request.
  Refused,
  /// The connection broke without a complete response. If no byte was sent, a
  /// reused connection had been closed while idle.
  Broken,
  /// No response was received in time.
  TimedOut,
  /// The response began but was not complete.
  Truncated,
  /// The attempt was cancelled because the caller has gone.
  Cancelled,
};

/// Record of one attempt. The records of all attempts of a request determine
/// whether it may be reported as "not run" and whether it may be retried.
struct attempt {
  base::target_id Target;
  std::string Incarnation;
  bool BytesSent = false;
  attempt_end End = attempt_end::NotConnected;
  /// HTTP status; 0 if there was no response.
  int Status = 0;
  base::duration Elapsed{};
  /// The response carried RetriesExhaustedHeader: a level below has used up its
  /// retries.
  bool RetriesExhausted = false;

  friend auto operator<=>(const attempt &, const attempt &) = default;
};

/// Permission to send one attempt to one target. Returned by exactly one call
/// of finish() of the router.
struct permit {
  std::uint64_t Id = 0;
  candidate Target;
  /// Delay after which the request may be hedged; empty if it must not be.
  std::optional<base::duration> HedgeAfter;

  friend auto operator<=>(const permit &, const permit &) = default;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_ROUTINGTYPES_H
