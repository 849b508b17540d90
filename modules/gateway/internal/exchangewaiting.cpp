// Requests of an exchange that find no target with capacity: whether they wait,
// and how they are refused.

#include "internal/exchange.h"

namespace fulmar::gateway {

namespace {

/// Delay before the next probe while all targets are full.
constexpr base::duration FullRetryInterval = std::chrono::milliseconds(20);

} // namespace

placement::admission_request exchange::admissionRequest() const {
  const base::instant Now = State.Loop.now();
  const std::chrono::milliseconds Objective(Route->ObjectiveMs);
  const base::duration Learned = Times->UnloadedTime.estimate();
  const base::duration Usual =
      Learned.count() > 0 ? Learned
                          : placement::assumedUnloadedTime(
                                Objective, Deadline - Request.ArrivedAt);
  return {.UnloadedTime = Usual,
          .TimeToObjective = FirstSentAt + Objective - Now,
          .TimeToDeadline = Deadline - Now};
}

void exchange::onNoCapacity(placement::admission_decision Decision) {
  dropProbes();
  Considered.clear();
  Round = 0;
  AfterWait = false;
  if (Service->Contact.lost() && passOn())
    return;
  const bool Waits = Decision == placement::admission_decision::Wait &&
                     !Service->Contact.lost() && !anyRunning() && mayWait();
  if (Waits)
    return wait();
  ChoosingTarget = false;
  if (anyRunning())
    return retryHedgeLater();
  LastAttemptRefused = false;
  if (sentCount() == 0)
    LastFailure = noCapacityError();
  giveUp();
}

base::error exchange::noCapacityError() const {
  if (timeUntilOpen() != base::duration())
    return {base::error_kind::NoTarget, "no target accepts requests"};
  if (!Service->Contact.answeredSince(StartedAt))
    return {base::error_kind::NoTarget, "no target answers"};
  return {base::error_kind::Saturated, "no target has room"};
}

std::optional<base::duration>
exchange::timeUntilOpen(placement::request_sender Sender) const {
  const base::instant Now = State.Loop.now();
  const auto Opens = Service->Placement.availableFrom(Now, Sender);
  return Opens ? std::optional(*Opens - Now) : std::nullopt;
}

bool exchange::mayWait() const {
  const auto Closed = timeUntilOpen();
  const placement::admission_request Needs = admissionRequest();
  return Closed && *Closed + Needs.UnloadedTime < Needs.TimeToObjective &&
         State.Loop.now() + FullRetryInterval < Deadline;
}

std::uint32_t exchange::priority() const {
  return Access.Account ? Access.Account->Priority.value_or(Route->Priority)
                        : Route->Priority;
}

waiter_key exchange::waiterKey() const {
  return {.Priority = priority(),
          .Objective =
              FirstSentAt + std::chrono::milliseconds(Route->ObjectiveMs),
          .Request = this};
}

void exchange::stopWaiting() {
  if (Service)
    Service->Waiters.remove(waiterKey());
}

void exchange::wait() {
  ChoosingTarget = true;
  Service->Waiters.add(waiterKey(), weak_from_this());
  RoundTimer.after(FullRetryInterval,
                   [Self = shared_from_this()] { Self->onWaitTimer(); });
}

void exchange::onWaitTimer() {
  if (State.isQuarantined(Fingerprint)) {
    stopWaiting();
    ChoosingTarget = false;
    return refuseQuarantined();
  }
  const bool Hopeless =
      placement::decideAdmission(std::nullopt, admissionRequest()) ==
      placement::admission_decision::Refuse;
  // Only the most urgent of an entry's waiting requests probes for capacity.
  // Requests that run out of time probe once more before they are refused.
  if (!Hopeless && !Service->Contact.lost() &&
      !Service->Waiters.isFirst(waiterKey()))
    return wait();
  stopWaiting();
  probeAfterWait({});
}

void exchange::onSlotFreed(const std::string &Target) {
  RoundTimer.cancel();
  probeAfterWait(Target);
}

void exchange::probeAfterWait(const std::string &First) {
  AfterWait = true;
  Round = 0;
  PreferredTarget = First;
  startProbeRound();
}

} // namespace fulmar::gateway
