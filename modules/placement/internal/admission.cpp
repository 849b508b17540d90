// Decisions of admission.

#include "fulmar/placement/admission.h"

#include <algorithm>

namespace fulmar::placement {

namespace {

/// A disturbance lasts a few hundred milliseconds, so that a longer request
/// outlives it: no more than this much of it is expected to count.
constexpr double MaxExpectedSlowdown = 2.5;
/// Targets that are undisturbed when a request is sent may not stay so.
constexpr double DisturbanceMargin = 1.3;
/// Callers come back at most this late, of the time that they have left: they
/// themselves cap it there.
constexpr int MaxRetryDivisor = 3;
/// Earliest return while a request can still be on time, in its usual times.
constexpr double MinRetryFactor = 0.25;
/// Part of a target's usable slots that late work may fill.
constexpr double LateSlotShare = 0.67;
constexpr base::duration MinRetryDelay = std::chrono::milliseconds(20);

/// Objectives are commonly set at two to four times what a request takes.
constexpr int ObjectiveDivisor = 3;

base::duration scaled(base::duration Time, double Factor) {
  return base::duration(static_cast<base::duration::rep>(
      static_cast<double>(Time.count()) * Factor));
}

/// \p Share: part of the usable slots that may be in use afterwards.
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
  // On time at best, if a target without any load came up now.
  const bool CanBeOnTime = Request.TimeToObjective > Request.UnloadedTime;
  if (!Candidate)
    return CanBeOnTime ? admission_decision::Wait : admission_decision::Refuse;
  if (!hasFreeSlot(*Candidate, CanBeOnTime ? 1 : LateSlotShare))
    return CanBeOnTime ? admission_decision::Wait : admission_decision::Refuse;
  const double Factor =
      std::min(MaxExpectedSlowdown,
               expectedTimeFactor(Candidate->Load, Candidate->Unreported));
  // It would be cut off before it ends.
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
