// Rate limit for probes, the requests that ask targets for their load.
//
// During a surge, probing several targets for each request would itself
// overload them. The probe rate of all entries together is therefore limited
// per target, and each entry gets an equal share.

#ifndef FULMAR_PLACEMENT_PROBEBUDGET_H
#define FULMAR_PLACEMENT_PROBEBUDGET_H

#include "fulmar/base/time.h"

#include <cstddef>

namespace fulmar::placement {

class probe_budget {
public:
  /// \p MaxPerTarget: probes per second that one target may receive from all
  /// entries together.
  explicit probe_budget(double MaxPerTarget) : MaxRatePerTarget(MaxPerTarget) {}

  void setFleetSize(std::size_t Targets, std::size_t Entries);
  /// Consumes up to \p Wanted tokens and returns how many probes may be sent.
  std::size_t take(std::size_t Wanted, base::instant Now);

private:
  double MaxRatePerTarget;
  /// Probes per second that this entry may send.
  double Rate = 0;
  double Tokens = 0;
  base::instant RefilledAt{};
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_PROBEBUDGET_H
