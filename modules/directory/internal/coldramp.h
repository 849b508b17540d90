// The rise of a warm target's capacity from what it bore while cold to its
// full limit.

#ifndef FULMAR_DIRECTORY_INTERNAL_COLDRAMP_H
#define FULMAR_DIRECTORY_INTERNAL_COLDRAMP_H

#include "fulmar/base/time.h"

#include <cstdint>

namespace fulmar::directory {

class cold_ramp {
public:
  /// Begins a rise from \p Requests in flight.
  void restart(std::uint32_t Requests, base::instant Now) {
    Base = Requests;
    Start = Now;
  }

  /// Capacity on the way to \p Limit, which is reached after \p Length.
  [[nodiscard]] std::uint32_t at(std::uint32_t Limit, base::duration Length,
                                 base::instant Now) const {
    if (Base >= Limit || Now - Start >= Length)
      return Limit;
    if (Now <= Start)
      return Base;
    const auto Passed = static_cast<std::uint64_t>((Now - Start).count());
    const auto Whole = static_cast<std::uint64_t>(Length.count());
    const std::uint64_t Rise = Limit - Base;
    return Base + static_cast<std::uint32_t>(Rise * Passed / Whole);
  }

private:
  std::uint32_t Base = 0;
  base::instant Start{};
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_COLDRAMP_H
