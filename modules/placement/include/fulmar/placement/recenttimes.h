// A quantile of the last few times that an entry has seen.

#ifndef FULMAR_PLACEMENT_RECENTTIMES_H
#define FULMAR_PLACEMENT_RECENTTIMES_H

#include "fulmar/base/time.h"

#include <array>
#include <cstddef>

namespace fulmar::placement {

class recent_times {
public:
  /// \p Wanted quantile, in [0, 1).
  explicit recent_times(double Wanted) : Quantile(Wanted) {}

  void record(base::duration Time);
  /// 0 until a few times have been seen.
  [[nodiscard]] base::duration estimate() const;

private:
  static constexpr std::size_t MaxRecords = 16;
  static constexpr std::size_t MinRecordsForEstimate = 3;

  double Quantile;
  std::array<base::duration, MaxRecords> Times{};
  /// Records so far; the newest Kept of them are held.
  std::size_t Records = 0;
};

/// What an entry has learned of the requests of one route.
struct route_times {
  /// How long they take on an idle, undisturbed target: below the median of
  /// the normalised times, because disturbances only ever add.
  recent_times UnloadedTime{0.4};
  /// How long callers say they wait. A request that says less has been sent
  /// before, by a caller that came back.
  recent_times CallerTimeout{0.6};
};

/// How long ago a request was first sent whose caller still waits for \p Left;
/// 0 where that is within what callers differ by.
base::duration estimatedAge(base::duration Remaining, const route_times &Times);

/// \p Elapsed without the delay that was expected when the request was sent.
base::duration normalised(base::duration Elapsed, double ExpectedFactor);

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_RECENTTIMES_H
