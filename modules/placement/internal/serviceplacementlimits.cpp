// Obeys the rate limits that targets of a service announce, and finds out when
// they no longer hold.

#include "fulmar/placement/serviceplacement.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace fulmar::placement {

namespace {

/// Share of an announced limit that the trials of all entries together use.
constexpr double TrialShare = 0.1;
/// Maximum fraction by which the time until a trial is randomly extended.
constexpr double TrialJitter = 1;
constexpr base::duration MaxTrialInterval = std::chrono::hours(1);
/// Callers of a service at its limits are told to return within this time.
constexpr double MaxRetrySeconds = 60;

} // namespace

bool service_placement::recordAnnouncedLimit(const std::string &Target,
                                             std::optional<double> Rate,
                                             response_kind Kind,
                                             base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return false;
  if (Rate)
    Found->second.LimitTrialAt = Now + nextTrial(*Rate);
  if (!Found->second.Limit.observe(Rate, Kind))
    return false;
  updateAnyAnnouncedLimit();
  return true;
}

void service_placement::updateAnyAnnouncedLimit() {
  AnyAnnouncedLimit =
      std::any_of(Targets.begin(), Targets.end(), [](const auto &Entry) {
        return Entry.second.Limit.rate().has_value();
      });
}

bool service_placement::limitPermits(const std::string &Id, const target &State,
                                     base::instant Now) {
  const auto Rate = State.Limit.rate();
  return !Rate || Limiters.Announced.allows(Id, *Rate, Now) ||
         Now >= State.LimitTrialAt;
}

bool service_placement::takeFromLimit(const std::string &Id, target &State,
                                      base::instant Now) {
  const auto Rate = State.Limit.rate();
  if (!Rate || Limiters.Announced.take(Id, *Rate, Now))
    return true;
  if (Now < State.LimitTrialAt)
    return false;
  State.LimitTrialAt = Now + nextTrial(*Rate);
  return true;
}

base::duration service_placement::nextTrial(double Rate) {
  const double Seconds =
      static_cast<double>(
          std::max<std::size_t>(1, Limiters.Announced.entries())) /
      (TrialShare * Rate) * absl::Uniform(Random, 1.0, 1 + TrialJitter);
  const std::chrono::duration<double> Time(Seconds);
  return Time < MaxTrialInterval
             ? std::chrono::duration_cast<base::duration>(Time)
             : MaxTrialInterval;
}

std::optional<base::instant> service_placement::opensAt(const std::string &Id,
                                                        const target &State,
                                                        base::instant Now,
                                                        request_sender Sender) {
  if (State.Leaving)
    return std::nullopt;
  const base::instant Opens = std::max(Now, State.ClosedUntil);
  const auto Rate = State.Limit.rate();
  if (!Rate)
    return Opens;
  base::instant Permitted = std::max(Now, State.LimitTrialAt);
  if (const auto Own = Limiters.Announced.availableFrom(Id, *Rate, Now))
    Permitted = std::min(Permitted, *Own);
  if (Sender == request_sender::AnyEntry) {
    // Some entry sends in each interval of the limit.
    const std::chrono::duration<double> Interval(
        std::min(1 / *Rate, MaxRetrySeconds));
    Permitted = std::min(
        Permitted, Now + std::chrono::duration_cast<base::duration>(Interval));
  }
  return std::max(Opens, Permitted);
}

std::optional<base::instant>
service_placement::availableFrom(base::instant Now, request_sender Sender) {
  std::optional<base::instant> Earliest;
  for (const auto &[Id, State] : Targets) {
    const auto Opens = opensAt(Id, State, Now, Sender);
    if (Opens && (!Earliest || *Opens < *Earliest))
      Earliest = Opens;
    if (Earliest == Now)
      break;
  }
  return Earliest;
}

} // namespace fulmar::placement
