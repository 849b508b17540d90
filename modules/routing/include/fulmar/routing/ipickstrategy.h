// Interface of the strategies that pick a target for a request from those with
// free capacity.

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

/// The state of a target that strategies base their pick on. InFlight is below
/// Limit.
struct target_view {
  /// Position in the service's list of targets. Changes only when the
  /// candidates change.
  std::size_t Index = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Limit = 0;
  /// Estimated service time relative to the median of the service's targets.
  double Slowness = 1;
  /// Reported load, decayed with the age of the report.
  double LoadHint = 0;

  friend auto operator<=>(const target_view &, const target_view &) = default;
};

class ipick_strategy {
public:
  virtual ~ipick_strategy() = default;

  /// Returns an index into \p Views, which must not be empty.
  virtual std::size_t pick(std::span<const target_view> Views,
                           base::random_source &Random) = 0;

  /// Whether targets are filtered by ejection, probation and data centre before
  /// the pick. The baseline strategies get every target with free capacity.
  [[nodiscard]] virtual bool filtersTargets() const { return false; }
};

/// Returns null if no strategy has this name.
std::unique_ptr<ipick_strategy> makeStrategy(std::string_view Name);
std::vector<std::string_view> strategyNames();

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_IPICKSTRATEGY_H
