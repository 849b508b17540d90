#include "takeover.h"

#include <algorithm>

namespace fulmar::directory {

void takeover::begin(base::instant Now) {
  BeganAt = Now;
  CountedAt = Now;
  Count.reset();
  CountsTaken = 0;
  UnreportedBound.reset();
}

void takeover::onAnnouncement(std::uint32_t InFlight, base::instant Now) {
  if (Now < BeganAt + Options.Transit)
    return;
  if (UnreportedBound) {
    UnreportedBound = std::min(*UnreportedBound, InFlight);
    return;
  }
  if (!Count) {
    Count = InFlight;
    CountedAt = Now;
    ++CountsTaken;
  }
  if (InFlight == 0)
    UnreportedBound = 0;
}

void takeover::update(std::uint64_t Reported, base::instant Now) {
  if (!UnreportedBound && Count && Now - CountedAt >= Options.ReportInterval) {
    const std::uint64_t Known = std::min<std::uint64_t>(Reported, *Count);
    const std::uint32_t Unreported = *Count - static_cast<std::uint32_t>(Known);
    Count.reset();
    if (Unreported == 0 || CountsTaken >= Options.MaxCounts)
      UnreportedBound = Unreported;
  }
  if (UnreportedBound && Now - BeganAt >= Options.LongestRequest)
    UnreportedBound = 0;
}

} // namespace fulmar::directory
