// A quantile of the last records.

#include "fulmar/placement/usualtime.h"

#include <algorithm>

namespace fulmar::placement {

namespace {

constexpr std::size_t MinRecords = 3;
/// Below the median, because disturbances only ever add.
constexpr double Quantile = 0.4;

} // namespace

void usual_time::record(base::duration Elapsed, double Factor) {
  const double Normal =
      static_cast<double>(Elapsed.count()) / std::max(1.0, Factor);
  Times[Records++ % Kept] =
      base::duration(static_cast<base::duration::rep>(Normal));
}

base::duration usual_time::estimate() const {
  const std::size_t Held = std::min(Records, Kept);
  if (Held < MinRecords)
    return {};
  auto Sorted = Times;
  const auto Place = Sorted.begin() + static_cast<std::ptrdiff_t>(
                                          Quantile * static_cast<double>(Held));
  std::nth_element(Sorted.begin(), Place,
                   Sorted.begin() + static_cast<std::ptrdiff_t>(Held));
  return *Place;
}

} // namespace fulmar::placement
