#include "fulmar/placement/recenttimes.h"

#include <algorithm>

namespace fulmar::placement {

void recent_times::record(base::duration Time) {
  Times[Records++ % MaxRecords] = Time;
}

base::duration recent_times::estimate() const {
  const std::size_t Count = std::min(Records, MaxRecords);
  if (Count < MinRecordsForEstimate)
    return {};
  auto Sorted = Times;
  const auto End = Sorted.begin() + static_cast<std::ptrdiff_t>(Count);
  const auto Nth = Sorted.begin() + static_cast<std::ptrdiff_t>(
                                        Quantile * static_cast<double>(Count));
  std::nth_element(Sorted.begin(), Nth, End);
  return *Nth;
}

base::duration estimatedAge(base::duration Remaining,
                            const route_times &Times) {
  // The timeouts of callers of the same route differ by some tenths.
  constexpr int PercentOfUsualTimeout = 80;
  const base::duration UsualTimeout =
      Times.CallerTimeout.estimate() * PercentOfUsualTimeout / 100;
  return std::max(base::duration(), UsualTimeout - Remaining);
}

base::duration normalised(base::duration Elapsed, double ExpectedFactor) {
  const double Micros =
      static_cast<double>(Elapsed.count()) / std::max(1.0, ExpectedFactor);
  return base::duration(static_cast<base::duration::rep>(Micros));
}

} // namespace fulmar::placement
