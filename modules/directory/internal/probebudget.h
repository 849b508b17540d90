// Token bucket of the processing time that probes may use at a target.
//
// The bucket is empty initially and whenever this instance has not acted as
// owner for a while. Successive owners therefore stay within one budget: over
// any window, all of them together spend at most the budget of the window and
// of MaxSavedTime.

#ifndef FULMAR_DIRECTORY_INTERNAL_PROBEBUDGET_H
#define FULMAR_DIRECTORY_INTERNAL_PROBEBUDGET_H

#include "fulmar/base/time.h"

#include <algorithm>
#include <chrono>

namespace fulmar::directory {

class probe_budget {
public:
  /// Limits the unspent budget to the amount earned in this time.
  static constexpr base::duration MaxSavedTime = std::chrono::seconds(1);
  /// Adds the budget for \p Time, during which the instance has acted as owner
  /// without interruption.
  void refill(base::duration PerSecond, base::duration Time) {
    Tokens += tokensFor(PerSecond, Time);
    Tokens = std::min(
        Tokens, std::max(tokensFor(PerSecond, MaxSavedTime), LargestCost));
  }

  /// Discards the budget after an interruption.
  void reset() { Tokens = base::duration(0); }

  /// Spends \p Cost if the budget suffices. For a cost above the normal
  /// maximum, the budget may grow up to that cost.
  bool take(base::duration Cost) {
    LargestCost = std::max(LargestCost, Cost);
    if (Tokens < Cost)
      return false;
    Tokens -= Cost;
    return true;
  }

private:
  static base::duration tokensFor(base::duration PerSecond,
                                  base::duration Time) {
    constexpr base::duration Second = std::chrono::seconds(1);
    return base::duration(PerSecond.count() * Time.count() / Second.count());
  }

  base::duration Tokens{};
  /// Largest cost requested so far.
  base::duration LargestCost{};
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_PROBEBUDGET_H
