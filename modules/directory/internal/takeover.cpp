// Bounds the requests in flight that an earlier owner left behind.

#include "takeover.h"

#include <algorithm>

namespace fulmar::directory {

void takeover::begin(base::instant Now) {
  BeganAt = Now;
  Counted.reset();
  Bound.reset();
}

void takeover::onAnnouncement(std::uint32_t InFlight, base::instant Now) {
  if (Now < BeganAt + Options.Transit)
    return;
  if (Bound) {
    Bound = std::min(*Bound, InFlight);
    return;
  }
  if (!Counted || InFlight < *Counted) {
    Counted = InFlight;
    CountedAt = Now;
  }
  if (InFlight == 0)
    Bound = 0;
}

std::optional<std::uint32_t> takeover::unreported(std::uint64_t Reported,
                                                  base::instant Now) {
  if (!Bound && Counted && Now - CountedAt >= Options.ReportInterval)
    Bound = *Counted - static_cast<std::uint32_t>(
                           std::min<std::uint64_t>(Reported, *Counted));
  if (Bound && Now - BeganAt >= Options.LongestRequest)
    Bound = 0;
  return Bound;
}

} // namespace fulmar::directory
