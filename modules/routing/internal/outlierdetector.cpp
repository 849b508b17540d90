// Implementation of outlier detection.

#include "fulmar/routing/outlierdetector.h"

#include <algorithm>
#include <cmath>

namespace fulmar::routing {

namespace {

/// Weight of a new record in the moving averages.
constexpr double Smoothing = 0.1;
/// Limit of the difference between one record and the average, as a natural
/// logarithm, so that a single long upload does not make a target look slow.
constexpr double MaxLogStep = 2.5;
/// Time that a target must be active before its ejection count is reset.
constexpr base::duration EjectionResetTime = std::chrono::seconds(60);
constexpr std::uint32_t MaxBackoffDoublings = 10;

double logSeconds(base::duration Elapsed) {
  const auto Micros = std::max<base::duration::rep>(1, Elapsed.count());
  return std::log(static_cast<double>(Micros) * 1e-6);
}

/// Returns the lower of the two middle values for an even number of values, and
/// 0 for none.
double medianOf(std::vector<double> &Values) {
  if (Values.empty())
    return 0;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

void recordServiceTime(target_health &Health, base::duration Elapsed) {
  const double Log = logSeconds(Elapsed);
  if (Health.TimedRecords++ == 0) {
    Health.LogSeconds = Log;
    return;
  }
  const double Step =
      std::clamp(Log - Health.LogSeconds, -MaxLogStep, MaxLogStep);
  Health.LogSeconds += Smoothing * Step;
}

bool isSlower(const target_health &Health, base::duration Elapsed) {
  return Health.TimedRecords > 0 && logSeconds(Elapsed) > Health.LogSeconds;
}

} // namespace

void outlier_detector::setTargets(std::span<const base::target_id> Targets,
                                  base::instant Now) {
  std::map<base::target_id, target_health> Kept;
  for (const base::target_id &Target : Targets) {
    const auto Found = Healths.find(Target);
    target_health Health =
        Found == Healths.end() ? target_health{} : Found->second;
    Kept.emplace(Target, Health);
  }
  Healths.swap(Kept);
  while (ejected() > maxEjected()) {
    auto Earliest = Healths.end();
    for (auto It = Healths.begin(); It != Healths.end(); ++It)
      if (It->second.State == target_health_state::Ejected &&
          (Earliest == Healths.end() ||
           It->second.EjectedUntil < Earliest->second.EjectedUntil))
        Earliest = It;
    startProbation(Earliest->second, Now);
  }
  refreshMedians();
}

ejection_cause outlier_detector::record(const base::target_id &Target,
                                        attempt_quality Quality,
                                        base::duration Elapsed,
                                        base::instant Now) {
  const auto Found = Healths.find(Target);
  if (Found == Healths.end())
    return ejection_cause::None;
  target_health &Health = Found->second;
  if (Quality == attempt_quality::Cancelled) {
    if (isSlower(Health, Elapsed))
      recordServiceTime(Health, Elapsed);
    return ejection_cause::None;
  }
  const bool Good = Quality == attempt_quality::Good;
  if (Good || isSlower(Health, Elapsed))
    recordServiceTime(Health, Elapsed);
  ++Health.Records;
  Health.ErrorRate += Smoothing * ((Good ? 0.0 : 1.0) - Health.ErrorRate);
  Health.ConsecutiveFailures = Quality == attempt_quality::ConnectionFailure
                                   ? Health.ConsecutiveFailures + 1
                                   : 0;
  if (Health.State == target_health_state::Probation)
    return recordInProbation(Health, Quality, Now);
  const ejection_cause Cause = causeOf(Health);
  if (Health.State != target_health_state::Active ||
      Cause == ejection_cause::None || !eject(Health, Now))
    return ejection_cause::None;
  return Cause;
}

ejection_cause outlier_detector::recordInProbation(target_health &Health,
                                                   attempt_quality Quality,
                                                   base::instant Now) {
  const bool Good = Quality == attempt_quality::Good;
  if (!Good || slowness(Health) >= Options.SlowRatio) {
    if (!eject(Health, Now))
      return ejection_cause::None;
    return Good ? ejection_cause::Slow : ejection_cause::Errors;
  }
  Health.PickProbability = std::min(1.0, Health.PickProbability * 2);
  if (Health.PickProbability < 1)
    return ejection_cause::None;
  Health.State = target_health_state::Active;
  Health.StateSince = Now;
  return ejection_cause::None;
}

void outlier_detector::evaluate(base::instant Now) {
  refreshMedians();
  for (auto &[Target, Health] : Healths) {
    if (Health.State == target_health_state::Ejected) {
      if (Now >= Health.EjectedUntil)
        startProbation(Health, Now);
      continue;
    }
    if (Health.State == target_health_state::Active &&
        causeOf(Health) != ejection_cause::None)
      eject(Health, Now);
    if (Health.State == target_health_state::Active && Health.Ejections > 0 &&
        Now - Health.StateSince >= EjectionResetTime)
      Health.Ejections = 0;
  }
}

ejection_cause outlier_detector::causeOf(const target_health &Health) const {
  if (Health.ConsecutiveFailures >= Options.FailuresToEject)
    return ejection_cause::Errors;
  if (Health.Records < Options.MinRecords)
    return ejection_cause::None;
  if (Health.ErrorRate >= MedianErrorRate + Options.ErrorMargin)
    return ejection_cause::Errors;
  const bool Slow = Health.TimedRecords >= Options.MinRecords &&
                    slowness(Health) >= Options.SlowRatio;
  return Slow ? ejection_cause::Slow : ejection_cause::None;
}

bool outlier_detector::eject(target_health &Health, base::instant Now) {
  if (ejected() >= maxEjected()) {
    if (Health.State == target_health_state::Probation)
      Health.PickProbability = Options.InitialPickProbability;
    return false;
  }
  const std::uint32_t Doublings =
      std::min(MaxBackoffDoublings, Health.Ejections);
  const base::duration Time =
      std::min(Options.MaxEjection, Options.BaseEjection * (1U << Doublings));
  ++Health.Ejections;
  Health.State = target_health_state::Ejected;
  Health.PickProbability = 0;
  Health.StateSince = Now;
  Health.EjectedUntil = Now + Time;
  return true;
}

void outlier_detector::startProbation(target_health &Health,
                                      base::instant Now) {
  Health.State = target_health_state::Probation;
  Health.PickProbability = Options.InitialPickProbability;
  Health.StateSince = Now;
  Health.TimedRecords = 0;
  Health.ErrorRate = 0;
  Health.Records = 0;
  Health.ConsecutiveFailures = 0;
}

void outlier_detector::restarted(const base::target_id &Target) {
  const auto Found = Healths.find(Target);
  if (Found != Healths.end())
    Found->second.TimedRecords = 0;
}

void outlier_detector::refreshMedians() {
  std::vector<double> Times;
  std::vector<double> Errors;
  for (const auto &[Target, Health] : Healths) {
    if (Health.TimedRecords > 0)
      Times.push_back(Health.LogSeconds);
    if (Health.Records > 0)
      Errors.push_back(Health.ErrorRate);
  }
  MedianSeconds = Times.empty() ? 0 : std::exp(medianOf(Times));
  MedianErrorRate = medianOf(Errors);
}

const target_health *
outlier_detector::healthOf(const base::target_id &Target) const {
  const auto Found = Healths.find(Target);
  return Found == Healths.end() ? nullptr : &Found->second;
}

double outlier_detector::slowness(const target_health &Health) const {
  if (Health.TimedRecords == 0 || MedianSeconds <= 0)
    return 1;
  return std::exp(Health.LogSeconds) / MedianSeconds;
}

std::size_t outlier_detector::ejected() const {
  return static_cast<std::size_t>(
      std::count_if(Healths.begin(), Healths.end(), [](const auto &Entry) {
        return Entry.second.State == target_health_state::Ejected;
      }));
}

std::size_t outlier_detector::maxEjected() const {
  return static_cast<std::size_t>(Options.MaxEjectedShare *
                                  static_cast<double>(Healths.size()));
}

} // namespace fulmar::routing
