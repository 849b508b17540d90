// Backpressure that a target signals in its responses.
//
// A target that is shutting down announces it in its responses, which reach the
// entry before the target's next report does. An overloaded target states for
// how long it should receive no requests, or how many it takes per second.

#ifndef FULMAR_PLACEMENT_TARGETBACKPRESSURE_H
#define FULMAR_PLACEMENT_TARGETBACKPRESSURE_H

#include "fulmar/base/time.h"

#include <compare>
#include <optional>

namespace fulmar::placement {

struct target_backpressure {
  /// The target is shutting down: no more requests until it restarts.
  bool Leaving = false;
  /// How long this entry must not send requests to the target.
  base::duration Pause{};
  /// Requests per second that the target takes from all entries together.
  std::optional<double> RateLimit;
  /// The response names a rate limit that cannot be read.
  bool RateLimitMalformed = false;

  friend auto operator<=>(const target_backpressure &,
                          const target_backpressure &) = default;
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_TARGETBACKPRESSURE_H
