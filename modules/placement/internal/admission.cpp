#include "fulmar/placement/admission.h"

#include <algorithm>

namespace fulmar::placement {

namespace {

/// Cap on the expected slowdown. A disturbance lasts a few hundred
/// milliseconds, so it slows a longer request only for part of its duration.
constexpr double MaxExpectedSlowdown = 2.5;
/// Safety factor: a target that is undisturbed when a request is sent may be
/// disturbed while it runs.
constexpr double DisturbanceMargin = 1.3;
/// The retry delay is at most the caller's remaining time divided by this;
/// callers apply the same cap themselves.
constexpr int MaxRetryDivisor = 3;
/// Minimum retry delay while a request can still be on time, as a multiple of
/// its unloaded time.
constexpr double MinRetryFactor = 0.25;
/// Fraction of a target's usable slots that late requests may fill.
constexpr double LateSlotShare = 0.67;
constexpr base::duration MinRetryDelay = std::chrono::milliseconds(20);

/// Objectives are commonly set at two to four times what a request takes.
constexpr int ObjectiveDivisor = 3;

base::duration scaled(base::duration Time, double Factor) {
  return base::duration(static_cast<base::duration::rep>(
      static_cast<double>(Time.count()) * Factor));
}

/// \p Share is the fraction of the usable slots that may be in use including
/// the new request.
bool hasFreeSlot(const admission_candidate &Candidate, double Share) {
  if (Candidate.Load.Slots == 0)
    return true;
  const double Usable = Share * usableSlots(Candidate.Load.Slots);
  return outstandingRequests(Candidate.Load, Candidate.Unreported) + 1 <=
         std::max(1.0, Usable);
}

} // namespace

base::duration assumedUnloadedTime(base::duration Objective,
                                   base::duration Timeout) {
  return std::min(Objective, Timeout) / ObjectiveDivisor;
}

admission_decision
decideAdmission(const std::optional<admission_candidate> &Candidate,
                const admission_request &Request) {
  // Whether an idle target, if one became available now, could still answer on
  // time.
  const bool CanBeOnTime = Request.TimeToObjective > Request.UnloadedTime;
  if (!Candidate)
    return CanBeOnTime ? admission_decision::Wait : admission_decision::Refuse;
  if (!hasFreeSlot(*Candidate, CanBeOnTime ? 1 : LateSlotShare))
    return CanBeOnTime ? admission_decision::Wait : admission_decision::Refuse;
  const double Factor =
      std::min(MaxExpectedSlowdown,
               expectedTimeFactor(Candidate->Load, Candidate->Unreported));
  // The request would time out before it completes.
  if (scaled(Request.UnloadedTime, Factor) > Request.TimeToDeadline)
    return CanBeOnTime ? admission_decision::Wait : admission_decision::Refuse;
  const bool OnTime =
      scaled(Request.UnloadedTime, Factor * DisturbanceMargin) <=
      Request.TimeToObjective;
  if (OnTime || !CanBeOnTime)
    return admission_decision::Send;
  return admission_decision::Wait;
}

base::duration retryAfter(const admission_request &Request, double Jitter) {
  const base::duration Latest =
      std::max(MinRetryDelay, Request.TimeToDeadline / MaxRetryDivisor);
  const base::duration Slack = Request.TimeToObjective - Request.UnloadedTime;
  if (Slack > MinRetryDelay) {
    const base::duration Soonest =
        std::max(MinRetryDelay, scaled(Request.UnloadedTime, MinRetryFactor));
    return std::min(Latest, std::max(Soonest, scaled(Slack, Jitter)));
  }
  return std::max(MinRetryDelay, scaled(Latest, (1 + Jitter) / 2));
}

base::duration retryAfterRefusal(const admission_request &Request,
                                 double Jitter) {
  const base::duration Soonest =
      std::max(MinRetryDelay, scaled(Request.UnloadedTime, MinRetryFactor));
  return std::min(retryAfter(Request, Jitter), scaled(Soonest, 1 + Jitter));
}

base::duration retryAfterClosure(base::duration Closed,
                                 const admission_request &Request,
                                 double Jitter) {
  return std::max(retryAfter(Request, Jitter), Closed + scaled(Closed, Jitter));
}

} // namespace fulmar::placement
