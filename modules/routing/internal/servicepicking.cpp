// Selection of the targets that are considered in a pick, and granting of
// permits.

#include "fulmar/routing/hedging.h"
#include "internal/servicerouter.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fulmar::routing {

namespace {

constexpr std::size_t AllTiers = std::numeric_limits<std::size_t>::max();
/// Pick probability below which a target in probation gets one request at a
/// time.
constexpr double SingleRequestProbability = 0.5;
/// Time from the start of a probation in which the target gets only idempotent
/// requests, so that no other requests are put at risk.
constexpr base::duration IdempotentOnlyTime = std::chrono::seconds(5);
/// Age of the oldest request in flight, as a multiple of the median service
/// time, from which it raises the estimated slowness.
constexpr double SlowAgeInMedians = 3;
constexpr double MaxAgeSlowness = 4;

bool wasTried(std::span<const attempt> Earlier, const base::target_id &Target) {
  return std::any_of(
      Earlier.begin(), Earlier.end(),
      [&Target](const attempt &Attempt) { return Attempt.Target == Target; });
}

} // namespace

std::optional<permit> service_router::tryGrant(const waiter &Waiter,
                                               base::instant Now) {
  const std::size_t MaxTier =
      Strategy->filtersTargets() ? farthestTier(Now) : AllTiers;
  collectViews(Waiter, MaxTier, Now);
  if (Views.empty() && MaxTier != AllTiers)
    collectViews(Waiter, AllTiers, Now);
  if (Views.empty())
    return std::nullopt;
  const std::size_t Picked = Strategy->pick(Views, Random);
  return grant(Targets[Views[Picked].Index], Waiter.Request, Now);
}

permit service_router::grant(target_state &Target,
                             const request_profile &Request,
                             base::instant Now) {
  Target.start(Now);
  permit Granted{.Id = ++LastId,
                 .Target = Target.current(),
                 .HedgeAfter = hedgeAfter(Request, Policy, Times, Budget, Now)};
  Running.emplace(Granted.Id,
                  running_attempt{.Target = Granted.Target.Target,
                                  .Incarnation = Granted.Target.Incarnation,
                                  .Started = Now});
  return Granted;
}

std::size_t service_router::farthestTier(base::instant Now) const {
  struct usage {
    std::uint32_t InFlight = 0;
    std::uint32_t Limit = 0;
  };
  std::vector<usage> Usages(Policy.Nearness.size() + 2);
  for (const target_state &Target : Targets) {
    if (Target.Health == nullptr || Target.Health->PickProbability < 1)
      continue;
    usage &Usage = Usages[Target.Tier];
    const std::uint32_t Limit = Target.limit(Now);
    Usage.Limit += Limit;
    Usage.InFlight += std::min(Limit, Target.inFlight());
  }
  for (std::size_t Tier = 0; Tier < Usages.size(); ++Tier)
    if (Usages[Tier].InFlight <
        Policy.SpillOverUtilisation * Usages[Tier].Limit)
      return Tier;
  return AllTiers;
}

bool service_router::anyActive(base::instant Now) const {
  return std::any_of(
      Targets.begin(), Targets.end(), [Now](const target_state &Target) {
        return Target.Health != nullptr &&
               Target.Health->PickProbability >= 1 && Target.limit(Now) > 0;
      });
}

bool service_router::anyCapacity(base::instant Now) const {
  return std::any_of(Targets.begin(), Targets.end(),
                     [Now](const target_state &Target) {
                       return Target.inFlight() < Target.limit(Now);
                     });
}

bool service_router::usable(const target_state &Target,
                            base::instant Now) const {
  if (Target.limit(Now) == 0)
    return false;
  return !Strategy->filtersTargets() ||
         (Target.Health != nullptr && Target.Health->PickProbability > 0);
}

bool service_router::admittedByHealth(const target_state &Target,
                                      const request_profile &Request,
                                      base::instant Now) {
  const double PickProbability = Target.Health->PickProbability;
  if (PickProbability >= 1)
    return true;
  if (PickProbability <= 0 ||
      (PickProbability < SingleRequestProbability && Target.inFlight() > 0))
    return false;
  if (!Request.Idempotent &&
      Now - Target.Health->StateSince < IdempotentOnlyTime)
    return false;
  return absl::Uniform(Random, 0.0, 1.0) < PickProbability;
}

void service_router::collectViews(const waiter &Waiter, std::size_t MaxTier,
                                  base::instant Now) {
  Views.clear();
  const bool FilterByHealth = Strategy->filtersTargets() && anyActive(Now);
  for (std::size_t Index = 0; Index < Targets.size(); ++Index) {
    const target_state &Target = Targets[Index];
    if (Target.inFlight() >= Target.limit(Now) || Target.Tier > MaxTier)
      continue;
    if (!FilterByHealth || (Target.Health != nullptr &&
                            admittedByHealth(Target, Waiter.Request, Now)))
      Views.push_back(viewOf(Index, Now));
  }
  if (!Waiter.Earlier.empty())
    removeTriedViews(Waiter.Earlier, Now);
}

target_view service_router::viewOf(std::size_t Index, base::instant Now) const {
  const target_state &Target = Targets[Index];
  target_view View{.Index = Index,
                   .InFlight = Target.inFlight(),
                   .Limit = Target.limit(Now),
                   .LoadHint = Target.loadHint(Now)};
  if (Target.Health == nullptr || Detector.medianSeconds() <= 0)
    return View;
  const double Age =
      std::chrono::duration<double>(Target.oldestAge(Now)).count();
  const double AgeSlowness = std::min(
      MaxAgeSlowness, Age / (SlowAgeInMedians * Detector.medianSeconds()));
  View.Slowness = std::max(Detector.slowness(*Target.Health), AgeSlowness);
  return View;
}

void service_router::removeTriedViews(std::span<const attempt> Earlier,
                                      base::instant Now) {
  const bool OtherExists = std::any_of(
      Targets.begin(), Targets.end(), [&](const target_state &Target) {
        return usable(Target, Now) &&
               !wasTried(Earlier, Target.current().Target);
      });
  if (!OtherExists)
    return;
  std::erase_if(Views, [&](const target_view &View) {
    return wasTried(Earlier, Targets[View.Index].current().Target);
  });
}

} // namespace fulmar::routing
