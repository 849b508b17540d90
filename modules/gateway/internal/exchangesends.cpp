// Sends to targets: what goes out, what comes back, and second sends.

#include "internal/exchange.h"

#include "fulmar/routing/fingerprint.h"
#include "fulmar/telemetry/log.h"

#include <algorithm>

namespace fulmar::gateway {

namespace {

using routing::attempt_quality;

/// With less time left, a request is not sent again.
constexpr base::duration MinTimeToSend = std::chrono::milliseconds(20);
/// Pause before a second run that found no room is tried again.
constexpr base::duration HedgePause = std::chrono::milliseconds(30);
/// Part of the objective after which a second target is asked.
constexpr double HedgeShare = 0.55;

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

/// Running, waiting, hidden, slots and percent of the usual time.
std::string describe(const placement::admission_candidate &Offer) {
  constexpr double Percent = 100;
  const placement::load_report &Load = Offer.Load;
  return std::to_string(Load.Running) + "+" + std::to_string(Load.Waiting) +
         "+" + std::to_string(Offer.Unreported) + "/" +
         std::to_string(Load.Slots) + "x" +
         std::to_string(static_cast<int>(Load.Slowdown * Percent));
}

} // namespace

std::string exchange::headFor(const std::string &Target) const {
  const dialect &Names = State.Options.Dialect;
  std::string Head = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  for (const auto &Field : Request.Fields) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    const bool Own = equalsIgnoringCase(Name, Names.Deadline) ||
                     equalsIgnoringCase(Name, Names.ExpectedTarget) ||
                     equalsIgnoringCase(Name, "Content-Length") ||
                     equalsIgnoringCase(Name, "Expect");
    if (!Own && !isHopByHop(Request.Fields, Name))
      appendHeader(Head, Name, {Field.value().data(), Field.value().size()});
  }
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      End - State.Loop.now());
  appendHeader(Head, Names.Deadline,
               std::to_string(std::max<std::int64_t>(1, Left.count())));
  appendHeader(Head, Names.ExpectedTarget, Target);
  const bool HasBody = Request.Body && !Request.Body->empty();
  if (HasBody || Request.Method == "POST" || Request.Method == "PUT" ||
      Request.Method == "PATCH")
    appendHeader(Head, "Content-Length",
                 std::to_string(Request.Body ? Request.Body->size() : 0));
  return Head + "\r\n";
}

void exchange::send(const std::string &Target, const channel_ptr &Channel,
                    const placement::admission_candidate &Offer) {
  if (State.isQuarantined(Fingerprint)) {
    State.Pool.release(Channel);
    return refuseQuarantined();
  }
  if (!Attempts.empty() && !Service->Retries.take(State.Loop.now())) {
    State.Pool.release(Channel);
    if (!anyRunning())
      giveUp();
    return;
  }
  SentTo.insert(Target);
  Service->Placement.requestSent(Target);
  Attempts.push_back({.Target = Target,
                      .Channel = Channel,
                      .SentAt = State.Loop.now(),
                      .ExpectedFactor = placement::expectedTimeFactor(
                          Offer.Load, Offer.Unreported),
                      .Seen = describe(Offer)});
  const std::size_t Index = Attempts.size() - 1;
  Channel->call(
      {.Head = headFor(Target),
       .Body = Request.Body,
       .RequestId = RequestId,
       .HeadOnly = Request.Method == "HEAD"},
      [Self = shared_from_this(), Index](base::result<target_answer> Result) {
        Self->onAnswer(Index, std::move(Result));
      });
  armHedge();
  // Where one found room, the next may.
  if (std::exchange(Polling, false)) {
    if (const auto Next = Service->Waiters.takeFirst())
      Next->targetFreed({});
  }
}

/// What it waited for, or was sent for before, does not matter any more.
void exchange::refuseQuarantined() {
  if (anyRunning())
    return;
  LastFailure = {base::error_kind::Quarantined, "the request crashes targets"};
  giveUp();
}

void exchange::armHedge() {
  HedgeTimer.cancel();
  if (!Idempotent || Attempts.size() >= Route->Attempts)
    return;
  const auto Wait = base::duration(static_cast<base::duration::rep>(
      HedgeShare * static_cast<double>(Route->ObjectiveMs) * 1'000));
  if (State.Loop.now() + Wait + MinTimeToSend >= End)
    return;
  HedgeTimer.after(Wait, [Self = shared_from_this()] { Self->hedge(); });
}

void exchange::hedge() {
  if (Choosing || !anyRunning())
    return;
  // While the service is short of room, a second run only takes some away.
  if (!Service->Waiters.empty() ||
      !Service->Retries.available(State.Loop.now()))
    return hedgeLater();
  Round = 0;
  Seen.clear();
  startRound();
}

void exchange::hedgeLater() {
  const base::duration Needed =
      std::max<base::duration>(admissionRequest().UnloadedTime, MinTimeToSend);
  if (!Idempotent || Attempts.size() >= Route->Attempts ||
      State.Loop.now() + HedgePause + Needed >= End)
    return;
  HedgeTimer.after(HedgePause, [Self = shared_from_this()] { Self->hedge(); });
}

bool exchange::anyRunning() const {
  return std::any_of(Attempts.begin(), Attempts.end(),
                     [](const attempt &Attempt) { return Attempt.Running; });
}

void exchange::endAttempt(std::size_t Index, attempt_quality Quality) {
  attempt &Attempt = Attempts[Index];
  Attempt.Running = false;
  Attempt.Outcome =
      std::string(nameOf(Quality)) + "@" +
      std::to_string(millisecondsOf(State.Loop.now() - Request.ArrivedAt));
  const base::instant Now = State.Loop.now();
  Service->Placement.requestEnded(Attempt.Target, Quality, Now - Attempt.SentAt,
                                  Now);
  if (Attempt.Channel)
    State.Pool.release(std::exchange(Attempt.Channel, {}));
  // The slot that this entry gives back is offered to its own waiters first.
  if (const auto Next = Service->Waiters.takeFirst())
    Next->targetFreed(Attempt.Target);
}

void exchange::onAnswer(std::size_t Index, base::result<target_answer> Result) {
  if (!OnDone || Streaming)
    return;
  if (Result)
    return onWhole(Index, std::move(Result).value());
  LastFailure = Result.error();
  const bool Untouched = Result.error().Kind == base::error_kind::Unreachable;
  MayHaveRun = MayHaveRun || !Untouched;
  if (!Untouched) {
    noteBreak(Attempts[Index].Target);
    Service->Placement.requestFailed(Attempts[Index].Target, State.Loop.now());
  }
  if (Attempts[Index].Channel->refused())
    State.Crashes.unreachable(base::target_id(Attempts[Index].Target),
                              State.Loop.now());
  endAttempt(Index, attempt_quality::ConnectionFailure);
  if (Untouched)
    Service->Placement.recordUnreachable(Attempts[Index].Target,
                                         State.Loop.now());
  sendAgain();
}

/// The request is suspected of having crashed the target.
void exchange::noteBreak(const std::string &Target) {
  const fleet::target_report *Held = Service->Placement.find(Target);
  if (Held == nullptr)
    return;
  State.Suspects.add(Service, *Held);
  const std::string Run = std::to_string(Held->StartedAtMs);
  const std::string Outcome(
      nameOf(State.Crashes.broken({.Fingerprint = Fingerprint,
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

void exchange::onWhole(std::size_t Index, target_answer Answer) {
  constexpr unsigned FirstRedirect = 300;
  constexpr unsigned FirstServerError = 500;
  constexpr unsigned Misdirected = 421;
  const dialect &Names = State.Options.Dialect;
  if (!headerOf(Answer.Fields, Names.NotRun).empty() ||
      Answer.Status == Misdirected) {
    LastFailure = {base::error_kind::Saturated,
                   "target " + Attempts[Index].Target + " refused with " +
                       std::to_string(Answer.Status)};
    TurnedAway = Answer.Status != Misdirected;
    if (TurnedAway)
      Service->Placement.requestRefused(Attempts[Index].Target,
                                        State.Loop.now());
    endAttempt(Index, attempt_quality::Error);
    return sendAgain();
  }
  const bool Signed = !headerOf(Answer.Fields, Names.Signature).empty();
  const bool Encoded = !headerOf(Answer.Fields, "Content-Encoding").empty();
  const bool Success = Answer.Status < FirstRedirect;
  // Whatever it tells: the target has outlived the run.
  if (Signed && Answer.Whole)
    State.noteOutlived(Fingerprint);
  if (Success && Signed && !Encoded) {
    Times->UnloadedTime.record(
        placement::normalised(State.Loop.now() - Attempts[Index].SentAt,
                              Attempts[Index].ExpectedFactor));
    return deliver(Index, std::move(Answer));
  }
  MayHaveRun = true;
  const bool ServerError = Answer.Status >= FirstServerError;
  if (ServerError || Success)
    Service->Placement.requestFailed(Attempts[Index].Target, State.Loop.now());
  endAttempt(Index, attempt_quality::Error);
  LastFailure = {base::error_kind::OutcomeUnknown,
                 "target answered " + std::to_string(Answer.Status)};
  if (Signed && !Success) {
    if (!ServerError && Answer.Whole)
      return deliver(std::move(Answer));
    if (Answer.Whole)
      OwnFailure = std::make_unique<target_answer>(std::move(Answer));
  }
  sendAgain();
}

bool exchange::mayTryAgain() const {
  return (Idempotent || !MayHaveRun) && Attempts.size() < Route->Attempts &&
         State.Loop.now() + MinTimeToSend < End &&
         Service->Retries.available(State.Loop.now());
}

void exchange::sendAgain() {
  if (Choosing || anyRunning())
    return;
  if (!mayTryAgain())
    return giveUp();
  Round = 0;
  Seen.clear();
  startRound();
}

} // namespace fulmar::gateway
