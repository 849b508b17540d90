#include "fulmar/placement/announcedlimit.h"

#include <utility>

namespace fulmar::placement {

bool announced_limit::observe(std::optional<double> Named, response_kind Kind) {
  const bool IsProbe = Kind == response_kind::Probe;
  if (!Named && IsProbe && !NamedInProbes)
    return false;
  NamedInProbes = Named && (IsProbe || NamedInProbes);
  return std::exchange(Rate, Named) != Named;
}

} // namespace fulmar::placement
