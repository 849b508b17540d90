// Implementation of the service time histogram.

#include "fulmar/routing/servicetimes.h"

#include <algorithm>
#include <cmath>

namespace fulmar::routing {

namespace {

/// Ratio between the bounds of adjacent buckets. The last bucket begins above
/// one hour.
constexpr double BucketRatio = 1.19;
constexpr std::uint32_t MaxTotalRecords = 4096;

std::size_t bucketOf(base::duration Elapsed, std::size_t Count) {
  const double Micros = std::max(1.0, static_cast<double>(Elapsed.count()));
  const double Position = std::log(Micros) / std::log(BucketRatio);
  return std::min(Count - 1, static_cast<std::size_t>(Position));
}

} // namespace

void service_times::record(base::duration Elapsed) {
  ++Buckets[bucketOf(Elapsed, Buckets.size())];
  if (++Total < MaxTotalRecords)
    return;
  Total = 0;
  for (std::uint32_t &Bucket : Buckets) {
    Bucket /= 2;
    Total += Bucket;
  }
}

std::optional<base::duration> service_times::quantile(double Quantile) const {
  if (Total < MinRecords)
    return std::nullopt;
  const double Wanted = std::clamp(Quantile, 0.0, 1.0) * Total;
  std::uint32_t Below = 0;
  std::size_t Index = 0;
  while (Index + 1 < Buckets.size() && Below + Buckets[Index] < Wanted)
    Below += Buckets[Index++];
  const double Bound = std::pow(BucketRatio, static_cast<double>(Index + 1));
  return base::duration(static_cast<base::duration::rep>(Bound));
}

} // namespace fulmar::routing
