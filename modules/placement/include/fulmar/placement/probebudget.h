// The budget for looking at targets.
//
// Answers surges, in which looking at several targets for each request would
// itself load them: the rate of looks is bounded by what all targets may get
// from all entries.

#ifndef FULMAR_PLACEMENT_PROBEBUDGET_H
#define FULMAR_PLACEMENT_PROBEBUDGET_H

#include "fulmar/base/time.h"

#include <cstddef>

namespace fulmar::placement {

class probe_budget {
public:
  /// \p MaxPerTarget: looks a second that one target may get from all entries.
  explicit probe_budget(double MaxPerTarget) : MaxRatePerTarget(MaxPerTarget) {}

  void setFleetSize(std::size_t Targets, std::size_t Entries);
  /// Up to \p Wanted looks.
  std::size_t take(std::size_t Wanted, base::instant Now);

private:
  double MaxRatePerTarget;
  /// Looks a second of this entry.
  double Rate = 0;
  double Tokens = 0;
  base::instant RefilledAt{};
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_PROBEBUDGET_H
