// Choice of one target among those that can take a request now.

#ifndef FULMAR_ROUTING_IPICKSTRATEGY_H
#define FULMAR_ROUTING_IPICKSTRATEGY_H

#include "fulmar/base/random.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace fulmar::routing {

/// A target as a strategy sees it. InFlight is below Limit.
struct target_view {
  /// Position in the service's list of targets; stable between changes of the
  /// candidates.
  std::size_t Index = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Limit = 0;
  /// Estimated service time relative to the median of the service's targets.
  double Slowness = 1;
  /// Reported load, decayed by the age of the report.
  double LoadHint = 0;

  friend auto operator<=>(const target_view &, const target_view &) = default;
};

class ipick_strategy {
public:
  virtual ~ipick_strategy() = default;

  /// Index into \p Views, which is not empty.
  virtual std::size_t pick(std::span<const target_view> Views,
                           base::random_source &Random) = 0;

  /// Whether ejection, probation and nearness restrict the views. The
  /// baselines see every target with room.
  [[nodiscard]] virtual bool filtersTargets() const { return false; }
};

/// Null when no strategy has this name.
std::unique_ptr<ipick_strategy> makeStrategy(std::string_view Name);
std::vector<std::string_view> strategyNames();

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_IPICKSTRATEGY_H
