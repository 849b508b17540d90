// Distribution of the service times of one service: a histogram with
// logarithmic buckets. All counts are halved whenever their sum reaches a
// limit, so that quantiles follow recent records.

#ifndef FULMAR_ROUTING_SERVICETIMES_H
#define FULMAR_ROUTING_SERVICETIMES_H

#include "fulmar/base/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace fulmar::routing {

class service_times {
public:
  /// Number of records below which no quantile is returned.
  static constexpr std::uint32_t MinRecords = 100;

  void record(base::duration Elapsed);
  /// Upper bound of the bucket that contains \p Quantile; empty with too few
  /// records.
  [[nodiscard]] std::optional<base::duration> quantile(double Quantile) const;

private:
  static constexpr std::size_t BucketCount = 128;

  std::array<std::uint32_t, BucketCount> Buckets{};
  /// Sum of Buckets; stays below the limit at which they are halved.
  std::uint32_t Total = 0;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_SERVICETIMES_H
