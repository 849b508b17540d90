// Token bucket of the target time that measuring may take. It holds nothing
// at first and whenever its owner did not act for a while, so that owners
// that follow one another stay within one budget: over any window, all of
// them together spend at most the budget of the window and of Depth.

#ifndef FULMAR_DIRECTORY_INTERNAL_PROBEBUDGET_H
#define FULMAR_DIRECTORY_INTERNAL_PROBEBUDGET_H

#include "fulmar/base/time.h"

#include <algorithm>
#include <chrono>

namespace fulmar::directory {

class probe_budget {
public:
  /// Unspent budget is kept for this time.
  static constexpr base::duration MaxSavedTime = std::chrono::seconds(1);
  /// The owner has acted without a break for \p Time before now.
  void refill(base::duration PerSecond, base::duration Time) {
    Tokens += tokensFor(PerSecond, Time);
    Tokens = std::min(
        Tokens, std::max(tokensFor(PerSecond, MaxSavedTime), LargestCost));
  }

  /// The owner did not act for a while.
  void reset() { Tokens = base::duration(0); }

  /// Spends \p Cost if it is there. A cost above the depth is saved up for.
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
  /// Largest cost that was asked for.
  base::duration LargestCost{};
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_PROBEBUDGET_H
