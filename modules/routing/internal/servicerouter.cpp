// Handling of the requests, candidate changes and queue of one service.

#include "internal/servicerouter.h"

#include "fulmar/routing/hedging.h"
#include "fulmar/routing/retrydecision.h"

#include <algorithm>
#include <utility>

namespace fulmar::routing {

using base::error_kind;

namespace {

/// Time for which the state of a target is kept after it was last listed.
constexpr base::duration HealthRetention = std::chrono::seconds(60);
constexpr base::duration EvaluationInterval = std::chrono::milliseconds(10);

bool hasLowerId(const target_state &A, const base::target_id &B) {
  return A.current().Target < B;
}

/// For a hedge, the attempt in flight is recorded as timed out. A hedge is
/// never queued, because the caller is still waiting for the first attempt.
bool isHedge(std::span<const attempt> Earlier) {
  return !Earlier.empty() && Earlier.back().End == attempt_end::TimedOut;
}

} // namespace

void service_router::setPolicy(const routing_policy &Changed,
                               std::unique_ptr<ipick_strategy> Chosen) {
  if (!Strategy || Changed.Strategy != Policy.Strategy)
    Strategy = std::move(Chosen);
  Policy = Changed;
  Removed = false;
  Detector.setOptions({.MaxEjectedShare = Policy.MaxEjectedShare});
  for (target_state &Target : Targets)
    Target.Tier = tierOf(Target.current().DataCentre);
}

std::vector<ticket_result> service_router::remove() {
  Removed = true;
  return refuse([](const waiter &) { return true; },
                error_kind::UnknownService);
}

std::vector<ticket_result>
service_router::refuse(const std::function<bool(const waiter &)> &Matches,
                       error_kind Kind) {
  std::vector<ticket_result> Answers;
  while (const auto Waiter = Queue.takeFirst(Matches))
    Answers.push_back({Waiter->Ticket, finalErrorKind(Waiter->Earlier, Kind)});
  return Answers;
}

std::size_t service_router::tierOf(const base::data_centre_name &Name) const {
  if (Policy.OwnDataCentre.empty() || Name == Policy.OwnDataCentre)
    return 0;
  const auto Found =
      std::find(Policy.Nearness.begin(), Policy.Nearness.end(), Name);
  return 1 + static_cast<std::size_t>(Found - Policy.Nearness.begin());
}

queue_limits service_router::limits() const {
  return {.Length = Policy.QueueLength, .Age = Policy.QueueTime};
}

base::instant service_router::expectedStart(const request_profile &Request,
                                            base::instant Now) const {
  std::uint32_t Capacity = 0;
  for (const target_state &Target : Targets)
    Capacity += Target.limit(Now);
  if (Capacity == 0)
    return Now;
  const double Seconds = static_cast<double>(Queue.ahead(Request)) *
                         Detector.medianSeconds() / Capacity;
  return Now + std::chrono::duration_cast<base::duration>(
                   std::chrono::duration<double>(Seconds));
}

error_kind service_router::waitRefusalKind(error_kind Reason) const {
  const bool AnyGrant =
      std::any_of(Targets.begin(), Targets.end(), [](const auto &Target) {
        return Target.current().Granted > 0;
      });
  return Reason == error_kind::Saturated && !AnyGrant ? error_kind::NoTarget
                                                      : Reason;
}

ticket_result service_router::refusalOf(const refused_waiter &Refused) const {
  return {
      Refused.Waiter.Ticket,
      finalErrorKind(Refused.Waiter.Earlier, waitRefusalKind(Refused.Reason))};
}

std::vector<ticket_result>
service_router::candidatesChanged(const std::vector<candidate> &Candidates,
                                  base::instant Now) {
  mergeCandidates(Candidates, Now);
  refreshHealths(Now);
  return tick(Now);
}

void service_router::mergeCandidates(const std::vector<candidate> &Candidates,
                                     base::instant Now) {
  for (target_state &Target : Targets)
    Target.withdraw();
  for (const candidate &Listed : Candidates) {
    auto Place = std::lower_bound(Targets.begin(), Targets.end(), Listed.Target,
                                  hasLowerId);
    if (Place == Targets.end() || Place->current().Target != Listed.Target)
      Place = Targets.emplace(Place);
    else if (Place->current().Incarnation != Listed.Incarnation)
      Detector.restarted(Listed.Target);
    Place->setCandidate(Listed, Now);
    Place->Tier = tierOf(Listed.DataCentre);
  }
  std::erase_if(Targets, [Now](const target_state &Target) {
    return Target.inFlight() == 0 &&
           Now - Target.lastListed() >= HealthRetention;
  });
}

void service_router::refreshHealths(base::instant Now) {
  std::vector<base::target_id> Known;
  Known.reserve(Targets.size());
  for (const target_state &Target : Targets)
    Known.push_back(Target.current().Target);
  Detector.setTargets(Known, Now);
  for (target_state &Target : Targets)
    Target.Health = Detector.healthOf(Target.current().Target);
}

void service_router::evaluate(base::instant Now) {
  if (Now - LastEvaluation < EvaluationInterval)
    return;
  LastEvaluation = Now;
  Detector.evaluate(Now);
}

std::vector<ticket_result> service_router::tick(base::instant Now) {
  evaluate(Now);
  std::vector<ticket_result> Answers = expire(Now);
  grantWaiting(Answers, Now);
  return Answers;
}

std::vector<ticket_result> service_router::expire(base::instant Now) {
  std::vector<ticket_result> Answers;
  for (const refused_waiter &Refused : Queue.expire(limits(), Now))
    Answers.push_back(refusalOf(Refused));
  return Answers;
}

void service_router::grantWaiting(std::vector<ticket_result> &Answers,
                                  base::instant Now) {
  while (!Queue.empty() && anyCapacity(Now)) {
    std::optional<permit> Granted;
    const auto Taken = Queue.takeFirst([&](const waiter &Waiter) {
      Granted = tryGrant(Waiter, Now);
      return Granted.has_value();
    });
    if (!Taken)
      return;
    Answers.push_back({Taken->Ticket, *Granted});
  }
}

acquire_result service_router::acquire(const request_profile &Request,
                                       std::span<const attempt> Earlier,
                                       base::instant Now) {
  const auto Refusal = attemptRefusal(Request, Earlier,
                                      {.Now = Now,
                                       .MaxAttempts = Policy.MaxAttempts,
                                       .BudgetLeft = Budget.available()});
  if (Refusal)
    return {.Answer = *Refusal};
  if (Earlier.empty() && !Request.MarkedAsRetry)
    Budget.deposit(Policy.RetryBudgetPercent);
  else if (!reachedNoTarget(Earlier))
    Budget.withdraw();

  acquire_result Result{.OtherResults = tick(Now)};
  waiter Arrived{.Ticket = ++LastId,
                 .Request = Request,
                 .Earlier = {Earlier.begin(), Earlier.end()},
                 .Enqueued = Now};
  if (Queue.empty()) {
    if (auto Granted = tryGrant(Arrived, Now)) {
      Result.Answer = std::move(*Granted);
      return Result;
    }
  }
  if (isHedge(Earlier)) {
    Budget.refund();
    Result.Answer = finalErrorKind(Earlier, error_kind::Saturated);
    return Result;
  }
  const ticket_id Ticket = Arrived.Ticket;
  Result.Answer = queued{Ticket};
  for (const refused_waiter &Refused :
       Queue.add(std::move(Arrived), limits(), expectedStart(Request, Now))) {
    const ticket_result Answer = refusalOf(Refused);
    if (Answer.Ticket == Ticket)
      Result.Answer = std::get<error_kind>(Answer.Answer);
    else
      Result.OtherResults.push_back(Answer);
  }
  return Result;
}

std::uint32_t service_router::demand() const {
  return static_cast<std::uint32_t>(Running.size() + Queue.size());
}

std::vector<target_in_flight> service_router::inFlight() const {
  std::vector<target_in_flight> List;
  for (const target_state &Target : Targets)
    for (const auto &[Incarnation, Count] : Target.inFlightByIncarnation())
      List.push_back({Target.current().Target, Incarnation, Count});
  return List;
}

std::vector<target_health_report> service_router::targets() const {
  std::vector<target_health_report> List;
  for (const target_state &Target : Targets)
    if (Target.Health != nullptr)
      List.push_back({.Target = Target.current().Target,
                      .State = Target.Health->State,
                      .PickProbability = Target.Health->PickProbability,
                      .Slowness = Detector.slowness(*Target.Health)});
  return List;
}

std::vector<observation> service_router::takeObservations() {
  return std::exchange(Observations, {});
}

} // namespace fulmar::routing
