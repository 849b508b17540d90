// A ring of times.

#include "fulmar/placement/recenttimes.h"

#include <algorithm>

namespace fulmar::placement {

void recent_times::record(base::duration Time) {
  Times[Records++ % Kept] = Time;
}

base::duration recent_times::estimate() const {
  const std::size_t Held = std::min(Records, Kept);
  if (Held < MinRecords)
    return {};
  auto Sorted = Times;
  const auto End = Sorted.begin() + static_cast<std::ptrdiff_t>(Held);
  const auto Place = Sorted.begin() + static_cast<std::ptrdiff_t>(
                                          Quantile * static_cast<double>(Held));
  std::nth_element(Sorted.begin(), Place, End);
  return *Place;
}

base::duration ageOf(base::duration Left, const route_times &Times) {
  // Callers of one route differ by some tenths in how long they wait.
  constexpr int PercentOfUsual = 80;
  const base::duration Usually = Times.Told.estimate() * PercentOfUsual / 100;
  return std::max(base::duration(), Usually - Left);
}

base::duration normalised(base::duration Elapsed, double ExpectedFactor) {
  const double Micros =
      static_cast<double>(Elapsed.count()) / std::max(1.0, ExpectedFactor);
  return base::duration(static_cast<base::duration::rep>(Micros));
}

} // namespace fulmar::placement
