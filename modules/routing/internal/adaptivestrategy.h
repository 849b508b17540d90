// Picks the best of a few randomly drawn targets: by own requests in flight
// against the granted share first, corrected by the target's service time
// against the median and by the reported load as a hint. Drawing at random
// keeps many entries from choosing one idle-looking target at once.

#ifndef FULMAR_ROUTING_ADAPTIVESTRATEGY_H
#define FULMAR_ROUTING_ADAPTIVESTRATEGY_H

#include "fulmar/routing/ipickstrategy.h"

namespace fulmar::routing {

class adaptive_strategy final : public ipick_strategy {
public:
  std::size_t pick(std::span<const target_view> Views,
                   base::random_source &Random) override;
  [[nodiscard]] bool filtersTargets() const override { return true; }
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_ADAPTIVESTRATEGY_H
