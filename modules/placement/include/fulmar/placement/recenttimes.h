// Quantile estimates over the most recent durations that an entry has observed.

#ifndef FULMAR_PLACEMENT_RECENTTIMES_H
#define FULMAR_PLACEMENT_RECENTTIMES_H

#include "fulmar/base/time.h"

#include <array>
#include <cstddef>

namespace fulmar::placement {

class recent_times {
public:
  /// \p Wanted is the quantile to estimate, in [0, 1).
  explicit recent_times(double Wanted) : Quantile(Wanted) {}

  void record(base::duration Time);
  /// Returns the quantile, or 0 until MinRecordsForEstimate durations have been
  /// recorded.
  [[nodiscard]] base::duration estimate() const;

private:
  static constexpr std::size_t MaxRecords = 16;
  static constexpr std::size_t MinRecordsForEstimate = 3;

  double Quantile;
  std::array<base::duration, MaxRecords> Times{};
  /// Number of durations recorded so far; the newest MaxRecords are kept.
  std::size_t Records = 0;
};

/// Timing statistics of the requests of one route.
struct route_times {
  /// Duration of a request on an idle, undisturbed target. The quantile lies
  /// below the median of the normalised durations because disturbances can only
  /// lengthen a request.
  recent_times UnloadedTime{0.4};
  /// Timeout that callers state for a request. A clearly shorter timeout marks
  /// a retry by a caller that has already spent part of it.
  recent_times CallerTimeout{0.6};
};

/// Estimates how long ago a request was first sent if its caller waits for
/// another \p Remaining. Returns 0 if the difference from the route's usual
/// timeout is within the normal variation between callers.
base::duration estimatedAge(base::duration Remaining, const route_times &Times);

/// Returns \p Elapsed with the slowdown removed that was expected when the
/// request was sent.
base::duration normalised(base::duration Elapsed, double ExpectedFactor);

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_RECENTTIMES_H
