// Tracking of the requests in flight at a target and of their limit.

#include "internal/targetstate.h"

#include <algorithm>
#include <cmath>

namespace fulmar::routing {

namespace {

constexpr base::duration LoadHalfLife = std::chrono::milliseconds(20);
/// Older reports are ignored. Otherwise all entries that have the same stale
/// report would pick the same targets until the next report.
constexpr double MaxHalfLives = 2;

} // namespace

void target_state::setCandidate(const candidate &Changed, base::instant Now) {
  if (Changed.Incarnation != Candidate.Incarnation) {
    SuspendedUntil = base::instant{};
    AdaptiveLimit = std::numeric_limits<double>::infinity();
  }
  Candidate = Changed;
  LastListed = Now;
  ReportTime = Now - Changed.ReportAge;
}

std::uint32_t target_state::limit(base::instant Now) const {
  if (Now < SuspendedUntil)
    return 0;
  if (!RejectedIncarnation.empty() &&
      RejectedIncarnation == Candidate.Incarnation)
    return 0;
  if (Candidate.Granted <= 1 || AdaptiveLimit >= Candidate.Granted)
    return Candidate.Granted;
  return static_cast<std::uint32_t>(AdaptiveLimit);
}

double target_state::loadHint(base::instant Now) const {
  const double HalfLives = std::chrono::duration<double>(Now - ReportTime) /
                           std::chrono::duration<double>(LoadHalfLife);
  if (HalfLives > MaxHalfLives)
    return 0;
  return Candidate.ReportedLoad * std::exp2(-std::max(0.0, HalfLives));
}

base::duration target_state::oldestAge(base::instant Now) const {
  return Started.empty() ? base::duration(0) : Now - Started.front();
}

void target_state::start(base::instant Now) {
  Started.insert(std::upper_bound(Started.begin(), Started.end(), Now), Now);
  ++ByIncarnation[Candidate.Incarnation];
}

void target_state::finish(const std::string &Incarnation,
                          base::instant StartTime) {
  const auto Found =
      std::lower_bound(Started.begin(), Started.end(), StartTime);
  if (Found != Started.end())
    Started.erase(Found);
  const auto Count = ByIncarnation.find(Incarnation);
  if (Count != ByIncarnation.end() && --Count->second == 0)
    ByIncarnation.erase(Count);
}

void target_state::decreaseAdaptiveLimit() {
  const double Bound =
      std::min(AdaptiveLimit, static_cast<double>(Candidate.Granted));
  AdaptiveLimit = std::max(1.0, Bound / 2);
}

void target_state::increaseAdaptiveLimit() {
  if (std::isfinite(AdaptiveLimit))
    AdaptiveLimit += 1 / AdaptiveLimit;
  if (AdaptiveLimit >= Candidate.Granted)
    AdaptiveLimit = std::numeric_limits<double>::infinity();
}

} // namespace fulmar::routing
