// Picks the best of a few randomly drawn targets. The score is the share of the
// granted limit that the entry's own requests use, weighted with the target's
// service time relative to the median and with its reported load. Drawing at
// random prevents many entries from picking the same apparently idle target at
// once.

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
