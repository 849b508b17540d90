// Issues and checks tokens.

#include "fulmar/controlnode/callerconfirmation.h"

#include <random>

namespace fulmar::controlnode {

bool caller_confirmation::isNeeded(const order_age &Age,
                                   const std::string &Token,
                                   base::instant Now) const {
  const bool Confirmed = IssuedAt && Token == Issued &&
                         Now - *IssuedAt < TokenLifetime &&
                         (!Age.StallEndedAt || *Age.StallEndedAt <= *IssuedAt);
  if (Confirmed)
    return false;
  const bool AfterStall = Age.StallEndedAt && Now - *Age.StallEndedAt <
                                                  base::stall_monitor::ReadTime;
  return AfterStall || Age.Awaited >= MaxAwaited;
}

const std::string &caller_confirmation::issue(base::instant Now) {
  // Orders that are sent back together get the same token.
  if (IssuedAt && Now - *IssuedAt < TokenLifetime / 2)
    return Issued;
  std::random_device Device;
  Issued = std::to_string(Device()) + "-" + std::to_string(Device());
  IssuedAt = Now;
  return Issued;
}

} // namespace fulmar::controlnode
