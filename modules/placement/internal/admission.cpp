// Decisions of admission.

#include "fulmar/placement/admission.h"

#include <algorithm>

namespace fulmar::placement {

namespace {

/// A disturbance lasts a few hundred milliseconds, so that a longer request
/// outlives it: no more than this much of it is expected to count.
constexpr double MaxExpectedSlowdown = 2.5;
/// Targets that are undisturbed when a request is sent may not stay so.
constexpr double NoiseMargin = 1.3;
/// Callers come back at most this late, of the time that they have left: they
/// themselves cap it there.
constexpr int ReturnDivisor = 3;
/// Earliest return while a request can still be on time, in its usual times.
constexpr double SoonestReturn = 0.25;
/// Part of a target's usable slots that late work may fill.
constexpr double LateShare = 0.67;
constexpr base::duration MinReturn = std::chrono::milliseconds(20);

/// Objectives are commonly set at two to four times what a request takes.
constexpr int ObjectiveDivisor = 3;

base::duration scaled(base::duration Time, double Factor) {
  return base::duration(static_cast<base::duration::rep>(
      static_cast<double>(Time.count()) * Factor));
}

/// \p Share: part of the usable slots that may be in use afterwards.
bool hasFreeSlot(const admission_offer &Offer, double Share) {
  if (Offer.Load.Slots == 0)
    return true;
  const double Usable = Share * usableSlots(Offer.Load.Slots);
  return busy(Offer.Load, Offer.Hidden) + 1 <= std::max(1.0, Usable);
}

} // namespace

base::duration assumedTime(base::duration Objective, base::duration Timeout) {
  return std::min(Objective, Timeout) / ObjectiveDivisor;
}

send_decision decideSend(const std::optional<admission_offer> &Offer,
                         const admission_request &Request) {
  // On time at best, if a target without any load came up now.
  const bool Hope = Request.ToObjective > Request.UsualTime;
  if (!Offer)
    return Hope ? send_decision::Wait : send_decision::Refuse;
  if (!hasFreeSlot(*Offer, Hope ? 1 : LateShare))
    return Hope ? send_decision::Wait : send_decision::Refuse;
  const double Factor =
      std::min(MaxExpectedSlowdown, expectedTime(Offer->Load, Offer->Hidden));
  // It would be cut off before it ends.
  if (scaled(Request.UsualTime, Factor) > Request.ToEnd)
    return Hope ? send_decision::Wait : send_decision::Refuse;
  const bool OnTime =
      scaled(Request.UsualTime, Factor * NoiseMargin) <= Request.ToObjective;
  if (OnTime || !Hope)
    return send_decision::Send;
  return send_decision::Wait;
}

base::duration returnAfter(const admission_request &Request, double Spread) {
  const base::duration Latest =
      std::max(MinReturn, Request.ToEnd / ReturnDivisor);
  const base::duration Slack = Request.ToObjective - Request.UsualTime;
  if (Slack > MinReturn) {
    const base::duration Soonest =
        std::max(MinReturn, scaled(Request.UsualTime, SoonestReturn));
    return std::min(Latest, std::max(Soonest, scaled(Slack, Spread)));
  }
  return std::max(MinReturn, scaled(Latest, (1 + Spread) / 2));
}

base::duration returnAfterRefusal(const admission_request &Request,
                                  double Spread) {
  const base::duration Soonest =
      std::max(MinReturn, scaled(Request.UsualTime, SoonestReturn));
  return std::min(returnAfter(Request, Spread), scaled(Soonest, 1 + Spread));
}

base::duration returnAfterClosure(base::duration Closed,
                                  const admission_request &Request,
                                  double Spread) {
  return std::max(returnAfter(Request, Spread),
                  Closed + scaled(Closed, Spread));
}

} // namespace fulmar::placement
