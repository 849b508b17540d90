// Distribution of the service times of one service, kept as a histogram with
// logarithmic buckets whose counts are halved now and then, so that quantiles
// follow the present.

#ifndef FULMAR_ROUTING_SERVICETIMES_H
#define FULMAR_ROUTING_SERVICETIMES_H

#include "fulmar/base/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace fulmar::routing {

class service_times {
public:
  /// Records needed before quantiles are given.
  static constexpr std::uint32_t MinRecords = 100;

  void record(base::duration Elapsed);
  /// Upper bound of the bucket that holds \p Quantile.
  [[nodiscard]] std::optional<base::duration> quantile(double Quantile) const;

private:
  static constexpr std::size_t BucketCount = 128;

  std::array<std::uint32_t, BucketCount> Buckets{};
  /// Sum of Buckets; below the count at which they are halved.
  std::uint32_t Total = 0;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_SERVICETIMES_H
