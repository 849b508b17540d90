#include "fulmar/placement/loadreport.h"

#include <algorithm>

namespace fulmar::placement {

namespace {

/// Fraction of busy slots above which a target slows down. The targets'
/// machines saturate at about 80% utilisation.
constexpr double KneeUtilisation = 0.8;
/// Slowdown of a target whose utilisation is above KneeUtilisation.
constexpr double SaturatedSlowdown = 1.7;
/// Slowdown up to which a target counts as undisturbed.
constexpr double UndisturbedSlowdown = 1.25;

} // namespace

double expectedTimeFactor(const load_report &Load,
                          unreported_requests Unreported) {
  const double Slowdown = std::max(Load.Slowdown, 0.01);
  if (Load.Slots == 0)
    return Slowdown * (1 + Unreported);
  const double Busy = outstandingRequests(Load, Unreported) + 1.0;
  const double Slots = Load.Slots;
  const double Saturation =
      Busy > KneeUtilisation * Slots ? SaturatedSlowdown : 1;
  const double QueuedRounds = std::max(0.0, Busy - Slots) / Slots;
  // Prefers the less utilised one of two undisturbed targets.
  constexpr double UtilisationWeight = 0.05;
  return Slowdown * Saturation * (1 + QueuedRounds) +
         UtilisationWeight * Busy / Slots;
}

bool isLightlyLoaded(const load_report &Load, unreported_requests Unreported) {
  if (Load.Slots == 0)
    return Unreported == 0;
  return Load.Slowdown <= UndisturbedSlowdown &&
         outstandingRequests(Load, Unreported) + 1 <=
             KneeUtilisation * Load.Slots;
}

std::uint32_t usableSlots(std::uint32_t Slots) {
  const auto BelowKnee = static_cast<std::uint32_t>(KneeUtilisation * Slots);
  return BelowKnee * SaturatedSlowdown > Slots ? BelowKnee : Slots;
}

std::uint32_t outstandingRequests(const load_report &Load,
                                  unreported_requests Unreported) {
  return Load.Running + Load.Waiting + Unreported;
}

} // namespace fulmar::placement
