// How long requests of one route usually take on an idle, undisturbed target,
// from the few that an entry has seen lately.

#ifndef FULMAR_PLACEMENT_USUALTIME_H
#define FULMAR_PLACEMENT_USUALTIME_H

#include "fulmar/base/time.h"

#include <array>
#include <cstddef>

namespace fulmar::placement {

class usual_time {
public:
  /// \p Factor: how much longer than usual the request was expected to take
  /// when it was sent.
  void record(base::duration Elapsed, double Factor);
  /// 0 until a few requests have been seen.
  [[nodiscard]] base::duration estimate() const;

private:
  static constexpr std::size_t Kept = 16;
  std::array<base::duration, Kept> Times{};
  /// Records so far; the newest Kept of them are held.
  std::size_t Records = 0;
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_USUALTIME_H
