// Implementation of the quarantine.

#include "fulmar/routing/quarantine.h"

#include <algorithm>

namespace fulmar::routing {

void quarantine::publish(std::uint64_t Fingerprint,
                         std::chrono::system_clock::time_point End,
                         std::chrono::system_clock::time_point WallNow,
                         base::instant Now) {
  const auto Left = std::chrono::duration_cast<base::duration>(End - WallNow);
  if (Left > base::duration(0))
    add(Fingerprint, Left, Now);
}

void quarantine::add(std::uint64_t Fingerprint, base::duration Time,
                     base::instant Now) {
  base::instant &End = Until[Fingerprint];
  End = std::max(End, Now + std::min(Time, MaxTime));
}

std::optional<base::duration> quarantine::remaining(std::uint64_t Fingerprint,
                                                    base::instant Now) const {
  const auto Found = Until.find(Fingerprint);
  if (Found == Until.end() || Now >= Found->second)
    return std::nullopt;
  return Found->second - Now;
}

void quarantine::expire(base::instant Now) {
  std::erase_if(Until,
                [Now](const auto &Entry) { return Now >= Entry.second; });
}

} // namespace fulmar::routing
