// Names of the HTTP headers that callers, entries and targets exchange. The
// gateway defines what each header means; the deployment chooses the names.

#ifndef FULMAR_GATEWAY_HEADERNAMES_H
#define FULMAR_GATEWAY_HEADERNAMES_H

#include <compare>
#include <string>

namespace fulmar::gateway {

struct header_names {
  /// Request and response: id of one attempt of a caller.
  std::string RequestId;
  /// Request: milliseconds for which the sender still waits.
  std::string Deadline;
  /// Response: proves that the target's program created it.
  std::string Signature;
  /// Request: id of the only target that may run it.
  std::string ExpectedTarget;
  /// Response: running requests, waiting requests, slots and, optionally, the
  /// current processing time in percent of the usual one.
  std::string Load;
  /// Response: the target did not run the request.
  std::string NotRun;
  /// Response: the target is about to leave and wants no new requests.
  std::string Leaving;
  /// Response: requests per second, as a decimal number, that the target takes
  /// from all entries together, until a response no longer says so.
  std::string RateLimit;
  /// Response to a probe: id of the target.
  std::string TargetId;
  /// Response to a probe: milliseconds until the target is warm.
  std::string RemainingWarmUp;
  /// Request: name of the account whose key the caller has sent. Set by the
  /// gateway alone.
  std::string Account;

  friend auto operator<=>(const header_names &, const header_names &) = default;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_HEADERNAMES_H
