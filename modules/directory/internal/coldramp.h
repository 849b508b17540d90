// The ramp of a warm target's capacity, from its capacity while cold to its
// full limit.

#ifndef FULMAR_DIRECTORY_INTERNAL_COLDRAMP_H
#define FULMAR_DIRECTORY_INTERNAL_COLDRAMP_H

#include "fulmar/base/time.h"

#include <cstdint>

namespace fulmar::directory {

class cold_ramp {
public:
  /// Starts the ramp at \p Requests in flight.
  void restart(std::uint32_t Requests, base::instant Now) {
    InitialCapacity = Requests;
    StartedAt = Now;
  }

  /// Returns the capacity at \p Now on a linear ramp that reaches \p Limit
  /// after \p RampDuration.
  [[nodiscard]] std::uint32_t at(std::uint32_t Limit,
                                 base::duration RampDuration,
                                 base::instant Now) const {
    if (InitialCapacity >= Limit || Now - StartedAt >= RampDuration)
      return Limit;
    if (Now <= StartedAt)
      return InitialCapacity;
    const auto Elapsed = static_cast<std::uint64_t>((Now - StartedAt).count());
    const auto Total = static_cast<std::uint64_t>(RampDuration.count());
    const std::uint64_t Increase = Limit - InitialCapacity;
    return InitialCapacity +
           static_cast<std::uint32_t>(Increase * Elapsed / Total);
  }

private:
  std::uint32_t InitialCapacity = 0;
  base::instant StartedAt{};
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_COLDRAMP_H
