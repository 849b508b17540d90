// Attempts of an exchange: requests to targets, their results, retries and
// hedges.

#include "internal/exchange.h"

#include "fulmar/routing/fingerprint.h"
#include "fulmar/telemetry/log.h"

#include <algorithm>

namespace fulmar::gateway {

namespace {

using routing::attempt_quality;

/// With less time left, a request is not sent again.
constexpr base::duration MinTimeToSend = std::chrono::milliseconds(20);
/// Delay before a hedge that found no capacity is tried again.
constexpr base::duration HedgeRetryInterval = std::chrono::milliseconds(30);
/// Share of the route's objective after which a hedge is sent.
constexpr double HedgeDelayShare = 0.55;

std::string_view nameOf(attempt_quality Quality) {
  switch (Quality) {
  case attempt_quality::Good:
    return "good";
  case attempt_quality::Error:
    return "error";
  case attempt_quality::ConnectionFailure:
    return "break";
  case attempt_quality::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

/// Formats running, waiting and unreported requests, slots, and the processing
/// time in percent of the usual one.
std::string describe(const placement::admission_candidate &Offer) {
  constexpr double Percent = 100;
  const placement::load_report &Load = Offer.Load;
  return std::to_string(Load.Running) + "+" + std::to_string(Load.Waiting) +
         "+" + std::to_string(Offer.Unreported) + "/" +
         std::to_string(Load.Slots) + "x" +
         std::to_string(static_cast<int>(Load.Slowdown * Percent));
}

} // namespace

std::string exchange::requestHead(std::string_view ExtraName,
                                  std::string_view ExtraValue) const {
  const header_names &Names = State.Options.HeaderNames;
  const bool ToEntry = ExtraName == RelayRequestHeader;
  std::string Head = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  for (const auto &Field : Request.Fields) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    if (!isOwnHeader(Name, ToEntry) && !isHopByHop(Request.Fields, Name))
      appendHeader(Head, Name, {Field.value().data(), Field.value().size()});
  }
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Deadline - State.Loop.now());
  appendHeader(Head, Names.Deadline,
               std::to_string(std::max<std::int64_t>(1, Left.count())));
  if (Access.Account && !ToEntry)
    appendHeader(Head, Names.Account, Access.Account->Name);
  appendHeader(Head, ExtraName, ExtraValue);
  const bool HasBody = Request.Body && !Request.Body->empty();
  if (HasBody || Request.Method == "POST" || Request.Method == "PUT" ||
      Request.Method == "PATCH")
    appendHeader(Head, "Content-Length",
                 std::to_string(Request.Body ? Request.Body->size() : 0));
  return Head + "\r\n";
}

void exchange::send(const std::string &Target, const connection_ptr &Connection,
                    const placement::admission_candidate &Offer) {
  if (State.isQuarantined(Fingerprint)) {
    State.Pool.release(Connection);
    return refuseQuarantined();
  }
  if (sentCount() > 0 && !Service->Retries.take(State.Loop.now())) {
    State.Pool.release(Connection);
    if (!anyRunning())
      giveUp();
    return;
  }
  SentTo.insert(Target);
  Service->Placement.requestSent(Target);
  Attempts.push_back({.Target = Target,
                      .Connection = Connection,
                      .SentAt = State.Loop.now(),
                      .ExpectedFactor = placement::expectedTimeFactor(
                          Offer.Load, Offer.Unreported),
                      .LoadAtSend = describe(Offer)});
  const std::size_t Index = Attempts.size() - 1;
  Connection->call(
      {.Head = requestHead(State.Options.HeaderNames.ExpectedTarget, Target),
       .Body = Request.Body,
       .RequestId = RequestId,
       .HeadOnly = Request.Method == "HEAD"},
      [Self = shared_from_this(), Index](base::result<target_response> Result) {
        Self->onAttemptEnd(Index, std::move(Result));
      });
  armHedge();
  // If this request found capacity, the next waiting one may find some too.
  if (std::exchange(AfterWait, false)) {
    if (const auto Next = Service->Waiters.popFirst())
      Next->onSlotFreed({});
  }
}

/// Fails a quarantined request, whatever the result of earlier waits and
/// attempts.
void exchange::refuseQuarantined() {
  if (anyRunning())
    return;
  LastFailure = {base::error_kind::Quarantined, "the request crashes targets"};
  giveUp();
}

void exchange::armHedge() {
  HedgeTimer.cancel();
  if (!Idempotent || sentCount() >= maxAttempts())
    return;
  const auto Wait = base::duration(static_cast<base::duration::rep>(
      HedgeDelayShare * static_cast<double>(Route->ObjectiveMs) * 1'000));
  if (State.Loop.now() + Wait + MinTimeToSend >= Deadline)
    return;
  HedgeTimer.after(Wait, [Self = shared_from_this()] { Self->hedge(); });
}

void exchange::hedge() {
  if (ChoosingTarget || !anyRunning())
    return;
  // While requests wait for capacity, a hedge would only take it from them.
  if (!Service->Waiters.empty() ||
      !Service->Retries.available(State.Loop.now()))
    return retryHedgeLater();
  Round = 0;
  Considered.clear();
  startProbeRound();
}

void exchange::retryHedgeLater() {
  const base::duration Needed =
      std::max<base::duration>(admissionRequest().UnloadedTime, MinTimeToSend);
  if (!Idempotent || sentCount() >= maxAttempts() ||
      State.Loop.now() + HedgeRetryInterval + Needed >= Deadline)
    return;
  HedgeTimer.after(HedgeRetryInterval,
                   [Self = shared_from_this()] { Self->hedge(); });
}

std::size_t exchange::sentCount() const {
  return static_cast<std::size_t>(
      std::count_if(Attempts.begin(), Attempts.end(),
                    [](const attempt &Attempt) { return !Attempt.NotSent; }));
}

/// The first entry counts and repeats the attempts of a request that it passes
/// on: each time it does, the second one may send once.
std::size_t exchange::maxAttempts() const {
  return Request.Relay ? 1 : Route->Attempts;
}

bool exchange::anyRunning() const {
  return std::any_of(Attempts.begin(), Attempts.end(),
                     [](const attempt &Attempt) { return Attempt.Running; });
}

void exchange::endPlacement(const attempt &Attempt, attempt_quality Quality) {
  const base::instant Now = State.Loop.now();
  if (Attempt.Relayed)
    return Service->Relays.requestEnded(Attempt.Target);
  Service->Placement.requestEnded(Attempt.Target, Quality, Now - Attempt.SentAt,
                                  Now);
}

void exchange::endAttempt(std::size_t Index, attempt_quality Quality) {
  attempt &Attempt = Attempts[Index];
  Attempt.Running = false;
  Attempt.Outcome =
      std::string(nameOf(Quality)) + "@" +
      std::to_string(toMilliseconds(State.Loop.now() - Request.ArrivedAt));
  endPlacement(Attempt, Quality);
  if (Attempt.Connection)
    (Attempt.Relayed ? State.RelayPool : State.Pool)
        .release(std::exchange(Attempt.Connection, {}));
  // A slot that this entry releases is offered to its own waiting requests
  // first.
  if (const auto Next = Service->Waiters.popFirst())
    Next->onSlotFreed(Attempt.Target);
}

void exchange::onAttemptEnd(std::size_t Index,
                            base::result<target_response> Result) {
  if (!OnDone || StreamingAttempt)
    return;
  if (Attempts[Index].Relayed)
    return onRelayEnd(Index, std::move(Result));
  if (Result) {
    State.ContactWatch.answered(*Service, Attempts[Index].Target);
    return onResponse(Index, std::move(Result).value());
  }
  LastFailure = Result.error();
  if (LastFailure.Kind == base::error_kind::TruncatedAnswer)
    State.ContactWatch.answered(*Service, Attempts[Index].Target);
  else
    State.ContactWatch.silent(*Service, Attempts[Index].Target,
                              Attempts[Index].SentAt);
  const bool NotReached = Result.error().Kind == base::error_kind::Unreachable;
  MayHaveRun = MayHaveRun || !NotReached;
  if (!NotReached) {
    suspectCrash(Attempts[Index].Target);
    Service->Placement.requestFailed(Attempts[Index].Target, State.Loop.now());
  }
  if (Attempts[Index].Connection->refused())
    State.SuspectChecker.refused(Service, Attempts[Index].Target);
  endAttempt(Index, attempt_quality::ConnectionFailure);
  if (NotReached)
    Service->Placement.recordUnreachable(Attempts[Index].Target,
                                         State.Loop.now());
  retry();
}

/// Records that the request is suspected of having crashed the target.
void exchange::suspectCrash(const std::string &Target) {
  const fleet::target_report *Report = Service->Placement.find(Target);
  if (Report == nullptr)
    return;
  State.SuspectChecker.add(Service, *Report);
  const std::string Run = std::to_string(Report->StartedAtMs);
  const std::string Outcome(
      nameOf(State.CrashWatch.broken({.Fingerprint = Fingerprint,
                                      .Target = base::target_id(Target),
                                      .Incarnation = Run},
                                     State.Loop.now())));
  State.Metrics
      .counterOf("fulmar_target_breaks_total", "suspicion=\"" + Outcome + "\"")
      .add();
  telemetry::logChange(telemetry::log_level::Info, "gateway", "attempt-broke",
                       {{"request", RequestId},
                        {"fingerprint", routing::fingerprintText(Fingerprint)},
                        {"target", Target},
                        {"run", Run},
                        {"cause", LastFailure.Message},
                        {"suspicion", Outcome}});
}

void exchange::onResponse(std::size_t Index, target_response Response) {
  constexpr unsigned FirstRedirect = 300;
  constexpr unsigned FirstServerError = 500;
  constexpr unsigned Misdirected = 421;
  const header_names &Names = State.Options.HeaderNames;
  if (!headerOf(Response.Fields, Names.NotRun).empty() ||
      Response.Status == Misdirected) {
    LastFailure = {base::error_kind::Saturated,
                   "target " + Attempts[Index].Target + " refused with " +
                       std::to_string(Response.Status)};
    LastAttemptRefused = Response.Status != Misdirected;
    if (LastAttemptRefused)
      Service->Placement.requestRefused(Attempts[Index].Target,
                                        State.Loop.now());
    endAttempt(Index, attempt_quality::Error);
    return retry();
  }
  const bool Signed = !headerOf(Response.Fields, Names.Signature).empty();
  const bool Encoded = !headerOf(Response.Fields, "Content-Encoding").empty();
  const bool Success = Response.Status < FirstRedirect;
  // Whatever the status: a signed, complete response proves that the target has
  // survived the request.
  if (Signed && Response.Complete)
    State.noteSurvived(Fingerprint);
  if (Success && Signed && !Encoded) {
    Times->UnloadedTime.record(
        placement::normalised(State.Loop.now() - Attempts[Index].SentAt,
                              Attempts[Index].ExpectedFactor));
    return deliver(Index, std::move(Response));
  }
  MayHaveRun = true;
  const bool ServerError = Response.Status >= FirstServerError;
  if (ServerError || Success)
    Service->Placement.requestFailed(Attempts[Index].Target, State.Loop.now());
  endAttempt(Index, attempt_quality::Error);
  LastFailure = {base::error_kind::OutcomeUnknown,
                 "target responded with status " +
                     std::to_string(Response.Status)};
  if (Signed && !Success) {
    if (!ServerError && Response.Complete)
      return deliver(std::move(Response));
    if (Response.Complete)
      TargetError = std::make_unique<target_response>(std::move(Response));
  }
  retry();
}

bool exchange::mayRetry() const {
  return (Idempotent || !MayHaveRun) && sentCount() < maxAttempts() &&
         State.Loop.now() + MinTimeToSend < Deadline &&
         Service->Retries.available(State.Loop.now());
}

void exchange::retry() {
  if (ChoosingTarget || anyRunning())
    return;
  if (!mayRetry())
    return giveUp();
  Round = 0;
  Considered.clear();
  startProbeRound();
}

} // namespace fulmar::gateway
