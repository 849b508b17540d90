// What the caller is told, and the end of a request.

#include "internal/exchange.h"

#include "fulmar/routing/fingerprint.h"
#include "fulmar/telemetry/log.h"

#include <absl/random/distributions.h>

#include <cstdio>

namespace fulmar::gateway {

namespace {

using routing::attempt_quality;

/// For requests whose route is not known: an entry knows a plan soon after its
/// start.
constexpr auto UnroutedReturn = std::chrono::milliseconds(300);
constexpr unsigned StatusUnavailable = 503;

std::string secondsText(base::duration Time) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f",
                std::chrono::duration<double>(Time).count());
  return Text;
}

} // namespace

void exchange::deliver(std::size_t Index, target_answer Answer) {
  if (!Answer.Whole)
    return beginStream(Index, std::move(Answer));
  endAttempt(Index, attempt_quality::Good);
  deliver(std::move(Answer));
}

void exchange::deliver(target_answer Answer) {
  finish(frontAnswer(std::move(Answer)));
}

front_answer exchange::frontAnswer(target_answer Answer) {
  front_answer Out{.Status = Answer.Status,
                   .Reason = std::move(Answer.Reason),
                   .Body = std::move(Answer.Body),
                   .Whole = Answer.Whole};
  for (const auto &Field : Answer.Fields) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    const std::string_view Value(Field.value().data(), Field.value().size());
    if (equalsIgnoringCase(Name, "Content-Length"))
      Out.ContentLength = Value;
    else if (!isHopByHop(Answer.Fields, Name))
      appendHeader(Out.Headers, Name, Value);
  }
  return Out;
}

/// From here on the answer is this target's, whatever comes.
void exchange::beginStream(std::size_t Index, target_answer Answer) {
  Streaming = Index;
  StreamStatus = Answer.Status;
  dropLooks();
  dropAttempts(attempt_quality::Cancelled, Index);
  RoundTimer.cancel();
  HedgeTimer.cancel();
  Choosing = false;
  stopWaiting();
  const handler Done = OnDone;
  Done(frontAnswer(std::move(Answer)));
}

void exchange::readPiece(target_channel::piece_handler Done) {
  // Its time may have ended between two pieces.
  if (!Streaming)
    return State.Loop.post([Done = std::move(Done)] {
      Done(base::fail(base::error_kind::TruncatedAnswer, "ended before"));
    });
  OnPiece = std::move(Done);
  Attempts[*Streaming].Channel->readPiece(
      [Self = shared_from_this()](base::result<answer_piece> Piece) {
        if (!Piece) {
          Self->LastFailure = Piece.error();
          return Self->endStream(attempt_quality::ConnectionFailure,
                                 Piece.error().Message);
        }
        if (Piece.value().Last)
          Self->endStream(attempt_quality::Good, "");
        if (const auto Called = std::exchange(Self->OnPiece, {}))
          Called(std::move(Piece));
      });
}

void exchange::endStream(attempt_quality Quality, std::string_view Why) {
  const std::size_t Index = *std::exchange(Streaming, std::nullopt);
  if (Quality != attempt_quality::Good) {
    if (Quality == attempt_quality::ConnectionFailure)
      noteBreak(Attempts[Index].Target);
    if (Quality != attempt_quality::Cancelled)
      Service->Placement.requestFailed(Attempts[Index].Target,
                                       State.Loop.now());
    Attempts[Index].Channel->close();
  }
  endAttempt(Index, Quality);
  endWork();
  Cause = Why;
  record(StreamStatus);
  OnDone = {};
  if (Quality == attempt_quality::Good)
    return;
  if (const auto Called = std::exchange(OnPiece, {}))
    Called(base::fail(base::error_kind::TruncatedAnswer, std::string(Why)));
}

/// Answers in place of a target. A status that promises that nothing was run
/// is used only where that holds.
void exchange::fail(const base::error &Error) {
  const base::error_answer &Kind = base::answerOf(Error.Kind);
  front_answer Out{.Status = static_cast<unsigned>(Kind.HttpStatus),
                   .Body = "{\"error\":\"" + std::string(Kind.Name) + "\"}"};
  appendHeader(Out.Headers, "Content-Type", "application/json");
  if (!RequestId.empty())
    appendHeader(Out.Headers, State.Options.Dialect.RequestId, RequestId);
  if (Out.Status == StatusUnavailable) {
    const bool Refused = Error.Kind == base::error_kind::Quarantined;
    appendHeader(Out.Headers, "Retry-After",
                 secondsText(Refused ? Kind.RetryAfter.value() : returnTime()));
  }
  Cause = Error.Message;
  finish(std::move(Out));
}

base::duration exchange::returnTime() const {
  if (Times == nullptr)
    return UnroutedReturn;
  const double Spread = absl::Uniform(State.Random, 0.0, 1.0);
  if (TurnedAway && closedFor() == base::duration())
    return placement::retryAfterRefusal(admissionRequest(), Spread);
  return placement::retryAfterClosure(
      Service ? closedFor().value_or(base::duration()) : base::duration(),
      admissionRequest(), Spread);
}

void exchange::giveUp() {
  if (OwnFailure && !anyRunning())
    return deliver(std::move(*OwnFailure));
  base::error Failure = LastFailure;
  if (!MayHaveRun)
    Failure.Kind =
        Attempts.empty() ? LastFailure.Kind : base::error_kind::Saturated;
  else if (Failure.Kind != base::error_kind::TargetTimeout)
    Failure.Kind = base::error_kind::OutcomeUnknown;
  fail(Failure);
}

/// Stops everything that is under way.
void exchange::endWork() {
  dropLooks();
  dropAttempts(attempt_quality::Cancelled);
  Overall.cancel();
  RoundTimer.cancel();
  HedgeTimer.cancel();
  Choosing = false;
  stopWaiting();
  --State.Running;
}

void exchange::finish(front_answer Answer) {
  endWork();
  record(Answer.Status);
  const handler Done = std::exchange(OnDone, {});
  if (Done)
    Done(std::move(Answer));
}

void exchange::record(unsigned Status) {
  log(Status, Cause);
  const base::duration Elapsed = State.Loop.now() - Request.ArrivedAt;
  State.Metrics.latencyOf("fulmar_request_seconds").record(Elapsed);
  State.Metrics
      .counterOf("fulmar_requests_total",
                 "status=\"" + std::to_string(Status) + "\"")
      .add();
}

void exchange::cancel() {
  if (!OnDone)
    return;
  OnDone = {};
  OnPiece = {};
  Streaming.reset();
  endWork();
  log(0, "the caller has gone");
  State.Metrics.counterOf("fulmar_requests_abandoned_total").add();
}

void exchange::dropLooks() {
  for (const auto &Look : Looks)
    Look->release();
  Looks.clear();
}

void exchange::dropAttempts(attempt_quality Quality,
                            std::optional<std::size_t> Kept) {
  for (std::size_t Index = 0; Index < Attempts.size(); ++Index) {
    attempt &Attempt = Attempts[Index];
    if (!Attempt.Running || Kept == Index)
      continue;
    Attempt.Running = false;
    if (Attempt.Channel)
      Attempt.Channel->close();
    Attempt.Channel.reset();
    const base::instant Now = State.Loop.now();
    Service->Placement.requestEnded(Attempt.Target, Quality,
                                    Now - Attempt.SentAt, Now);
  }
}

std::string exchange::sendsText() const {
  std::string Text;
  for (const attempt &Attempt : Attempts)
    Text += (Text.empty() ? "" : ",") + Attempt.Target + ":" +
            std::to_string(millisecondsOf(Attempt.SentAt - Request.ArrivedAt)) +
            ":" + Attempt.Seen + ":" + Attempt.Outcome;
  return Text;
}

void exchange::log(unsigned Status, std::string_view Reason) const {
  const bool Failed = !Reason.empty();
  telemetry::logChange(
      Failed ? telemetry::log_level::Warning : telemetry::log_level::Info,
      "gateway", Failed ? "request-failed" : "request-answered",
      {{"request", RequestId},
       {"route", Route == nullptr ? "" : Route->Name},
       {"plan", Plan ? std::to_string(Plan->Version) : "none"},
       {"service", Service ? Service->Service.Name : ""},
       // Known from the route on.
       {"fingerprint",
        Fingerprint == 0 ? "" : routing::fingerprintText(Fingerprint)},
       {"status", std::to_string(Status)},
       {"cause", std::string(Reason)},
       {"sends", sendsText()},
       {"usual_ms",
        std::to_string(Times == nullptr
                           ? 0
                           : millisecondsOf(Times->UnloadedTime.estimate()))},
       {"age_ms",
        std::to_string(Times == nullptr
                           ? 0
                           : millisecondsOf(Request.ArrivedAt - FirstSentAt))},
       {"had_ms",
        std::to_string(
            Times == nullptr ? 0 : millisecondsOf(End - Request.ArrivedAt))},
       {"took_ms",
        std::to_string(millisecondsOf(State.Loop.now() - Request.ArrivedAt))}});
}

} // namespace fulmar::gateway
