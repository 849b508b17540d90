// What a target says about further work when it answers.
//
// Answers the load that reaches targets which can't use it: those that leave
// say so in their answers before any report of theirs has arrived here, and
// those that are overrun say for how long they want nothing.

#ifndef FULMAR_PLACEMENT_TARGETBACKPRESSURE_H
#define FULMAR_PLACEMENT_TARGETBACKPRESSURE_H

#include "fulmar/base/time.h"

#include <compare>

namespace fulmar::placement {

struct target_backpressure {
  /// Nothing more, until the target starts anew.
  bool Leaving = false;
  /// Nothing from this entry for so long.
  base::duration Pause{};

  friend auto operator<=>(const target_backpressure &,
                          const target_backpressure &) = default;
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_TARGETBACKPRESSURE_H
