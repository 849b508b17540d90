// The comparison of load reports.

#include "fulmar/placement/loadreport.h"

#include <algorithm>

namespace fulmar::placement {

namespace {

/// Share of busy slots above which targets slow down. Targets' own machines
/// saturate at about four fifths.
constexpr double Knee = 0.8;
/// Slowdown of a target above its knee.
constexpr double CrowdedSlowdown = 1.7;
/// Slowdown up to which a target counts as undisturbed.
constexpr double GoodSlowdown = 1.25;

} // namespace

double expectedTime(const load_report &Load, hidden_requests Hidden) {
  const double Slowdown = std::max(Load.Slowdown, 0.01);
  if (Load.Slots == 0)
    return Slowdown * (1 + Hidden);
  const double Busy = busy(Load, Hidden) + 1.0;
  const double Slots = Load.Slots;
  const double Crowding = Busy > Knee * Slots ? CrowdedSlowdown : 1;
  const double Rounds = std::max(0.0, Busy - Slots) / Slots;
  // Among undisturbed targets the emptier one.
  constexpr double Tie = 0.05;
  return Slowdown * Crowding * (1 + Rounds) + Tie * Busy / Slots;
}

bool isGood(const load_report &Load, hidden_requests Hidden) {
  if (Load.Slots == 0)
    return Hidden == 0;
  return Load.Slowdown <= GoodSlowdown &&
         busy(Load, Hidden) + 1 <= Knee * Load.Slots;
}

std::uint32_t usableSlots(std::uint32_t Slots) {
  const auto BelowKnee = static_cast<std::uint32_t>(Knee * Slots);
  return BelowKnee * CrowdedSlowdown > Slots ? BelowKnee : Slots;
}

std::uint32_t busy(const load_report &Load, hidden_requests Hidden) {
  return Load.Running + Load.Waiting + Hidden;
}

} // namespace fulmar::placement
