// Evaluation of the outcome of an attempt for its target.

#include "internal/servicerouter.h"

#include <algorithm>
#include <array>

namespace fulmar::routing {

namespace {

constexpr int FirstServerError = 500;
/// Time for which nothing is sent to a target after a connection failure. Long
/// enough for the leaseholder's answer to arrive and for older grants to end.
constexpr base::duration SuspensionAfterBreak = std::chrono::seconds(1);
constexpr std::size_t MaxObservations = 1024;

constexpr std::array<attempt_quality, 7> QualityByEnd = {
    attempt_quality::Good,              // Answered
    attempt_quality::ConnectionFailure, // NotConnected
    attempt_quality::Error,             // Refused
    attempt_quality::ConnectionFailure, // Broken
    attempt_quality::Error,             // TimedOut
    attempt_quality::ConnectionFailure, // Truncated
    attempt_quality::Cancelled,         // Cancelled
};

attempt_quality qualityOf(const attempt &Attempt) {
  if (Attempt.End == attempt_end::Answered &&
      Attempt.Status >= FirstServerError)
    return attempt_quality::Error;
  return QualityByEnd[static_cast<std::size_t>(Attempt.End)];
}

} // namespace

std::vector<ticket_result> service_router::finish(const permit &Permit,
                                                  const attempt &Outcome,
                                                  base::instant Now) {
  const auto Found = Running.find(Permit.Id);
  if (Found == Running.end())
    return {};
  const running_attempt Ended = Found->second;
  Running.erase(Found);
  target_state *Target = findTarget(Ended.Target);
  if (Target != nullptr) {
    Target->finish(Ended.Incarnation, Ended.Started);
    recordOutcome(*Target, Ended, Outcome, Now);
  }
  return tick(Now);
}

target_state *service_router::findTarget(const base::target_id &Id) {
  const auto Place = std::lower_bound(
      Targets.begin(), Targets.end(), Id,
      [](const target_state &State, const base::target_id &Wanted) {
        return State.current().Target < Wanted;
      });
  if (Place == Targets.end() || Place->current().Target != Id)
    return nullptr;
  return &*Place;
}

void service_router::recordObservation(const running_attempt &Ended,
                                       observation_kind Kind,
                                       const std::string &SeenIncarnation) {
  if (Observations.size() < MaxObservations)
    Observations.push_back(
        {Ended.Target, Ended.Incarnation, Kind, SeenIncarnation});
}

void service_router::recordOutcome(target_state &Target,
                                   const running_attempt &Ended,
                                   const attempt &Outcome, base::instant Now) {
  if (!Outcome.Incarnation.empty() &&
      Outcome.Incarnation != Ended.Incarnation) {
    Target.rejectIncarnation(Ended.Incarnation);
    recordObservation(Ended, observation_kind::IncarnationChanged,
                      Outcome.Incarnation);
    return;
  }
  if (Target.current().Incarnation != Ended.Incarnation)
    return;
  const attempt_quality Quality = qualityOf(Outcome);
  // A reused connection that was closed while idle is no sign of a failure.
  const bool ClosedIdle =
      Outcome.End == attempt_end::Broken && !Outcome.BytesSent;
  if (Quality == attempt_quality::ConnectionFailure && !ClosedIdle) {
    Target.suspendUntil(Now + SuspensionAfterBreak);
    recordObservation(Ended, observation_kind::Reset);
  } else if (Outcome.End == attempt_end::Refused) {
    Target.decreaseAdaptiveLimit();
    recordObservation(Ended, observation_kind::Shed);
  } else if (Quality == attempt_quality::Good) {
    Target.increaseAdaptiveLimit();
    Times.record(Outcome.Elapsed);
  }
  if (Detector.record(Ended.Target, Quality, Outcome.Elapsed, Now) ==
      ejection_cause::Slow)
    recordObservation(Ended, observation_kind::ServiceTimeJump);
}

} // namespace fulmar::routing
