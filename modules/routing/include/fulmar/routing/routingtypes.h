// Value types between the directory, the router and the proxy.

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

/// A target that this instance may send new work to right now.
struct candidate {
  base::target_id Target;
  /// IP:PORT.
  std::string Address;
  base::data_centre_name DataCentre;
  /// Changes whenever the target starts anew.
  std::string Incarnation;
  /// Requests that this instance may have in flight at the target: its share
  /// of the target's limit, granted by the target's leaseholder.
  std::uint32_t Granted = 0;
  /// Reported utilisation, 0 idle to 1 full, and the age of the report.
  double ReportedLoad = 0;
  base::duration ReportAge{};

  friend auto operator<=>(const candidate &, const candidate &) = default;
};

/// What the router has to know of a request before it is sent anywhere.
struct request_profile {
  base::service_name Service;
  /// Method is GET, HEAD, OPTIONS, PUT or DELETE, or the service's policy
  /// says that the request is idempotent.
  bool Idempotent = false;
  /// The body is kept, so that a second attempt can send it.
  bool Replayable = false;
  /// Absent unless the caller sent one.
  std::optional<std::string> IdempotencyKey;
  /// Digest of the idempotency key, or of method, path and body.
  std::uint64_t Fingerprint = 0;
  base::instant Deadline{};
  /// 0 is the most important.
  std::uint8_t Priority = 0;
  /// The caller or a level above marked the request as a retry or a hedge
  /// (RetryHeader). It is then not sent again here.
  bool MarkedAsRetry = false;

  friend auto operator<=>(const request_profile &,
                          const request_profile &) = default;
};

/// How an attempt at a target ended, as far as the proxy could see.
enum class attempt_end : std::uint8_t {
  /// A complete answer was received.
  Answered,
  /// No connection was made; no byte was sent.
  NotConnected,
  /// The target said that it did not start the request.
  Refused,
  /// The connection broke after bytes were sent, without a complete answer.
  Broken,
  /// No answer in time.
  TimedOut,
  /// The answer began and ended early.
  Truncated,
  /// The caller has gone; the attempt was cancelled.
  Cancelled,
};

/// The record of one attempt. The list of them decides whether a request may
/// be called "not run" and whether it may be sent again.
struct attempt {
  base::target_id Target;
  std::string Incarnation;
  bool BytesSent = false;
  attempt_end End = attempt_end::NotConnected;
  /// HTTP status; 0 without an answer.
  int Status = 0;
  base::duration Elapsed{};
  /// The answer carried RetriesExhaustedHeader: a level below used its retries.
  bool RetriesExhausted = false;

  friend auto operator<=>(const attempt &, const attempt &) = default;
};

/// Permission to send one attempt to one target. Given back by exactly one
/// finish() of the router.
struct permit {
  std::uint64_t Id = 0;
  candidate Target;
  /// Time after which an idempotent request may be hedged; empty: never.
  std::optional<base::duration> HedgeAfter;

  friend auto operator<=>(const permit &, const permit &) = default;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_ROUTINGTYPES_H
