// Bounds the requests in flight that an earlier owner left behind.

#include "takeover.h"

#include <algorithm>

namespace fulmar::directory {

void takeover::begin(base::instant Now) {
  BeganAt = Now;
  CountedAt = Now;
  Counted.reset();
  CountsTaken = 0;
  Bound.reset();
}

void takeover::onAnnouncement(std::uint32_t InFlight, base::instant Now) {
  if (Now < BeganAt + Options.Transit)
    return;
  if (Bound) {
    Bound = std::min(*Bound, InFlight);
    return;
  }
  if (!Counted) {
    Counted = InFlight;
    CountedAt = Now;
    ++CountsTaken;
  }
  if (InFlight == 0)
    Bound = 0;
}

void takeover::settle(std::uint64_t Reported, base::instant Now) {
  if (!Bound && Counted && Now - CountedAt >= Options.ReportInterval) {
    const std::uint64_t Known = std::min<std::uint64_t>(Reported, *Counted);
    const std::uint32_t Left = *Counted - static_cast<std::uint32_t>(Known);
    Counted.reset();
    if (Left == 0 || CountsTaken >= Options.Counts)
      Bound = Left;
  }
  if (Bound && Now - BeganAt >= Options.LongestRequest)
    Bound = 0;
}

} // namespace fulmar::directory
