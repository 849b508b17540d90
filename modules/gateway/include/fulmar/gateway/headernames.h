// The names of the headers that callers, entries and targets exchange. The
// gateway knows what each of them means; what they are called belongs to the
// deployment.

#ifndef FULMAR_GATEWAY_HEADERNAMES_H
#define FULMAR_GATEWAY_HEADERNAMES_H

#include <compare>
#include <string>

namespace fulmar::gateway {

struct header_names {
  /// Request and answer: id of one attempt of a caller.
  std::string RequestId;
  /// Request: milliseconds that the sender still waits.
  std::string Deadline;
  /// Answer: proves that the target's program made it.
  std::string Signature;
  /// Request: id of the only target that may run it.
  std::string ExpectedTarget;
  /// Answer: running, waiting, slots and, optionally, how long work takes in
  /// percent of the usual.
  std::string Load;
  /// Answer: the target did not run the request.
  std::string NotRun;
  /// Answer: the target is about to leave and wants no new work.
  std::string Leaving;
  /// Answer to a probe: id of the target.
  std::string TargetId;
  /// Answer to a probe: milliseconds for which the target stays cold.
  std::string RemainingWarmUp;

  friend auto operator<=>(const header_names &, const header_names &) = default;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_HEADERNAMES_H
