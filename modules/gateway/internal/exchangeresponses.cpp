// Responses of an exchange to its caller, and the end of the exchange.

#include "internal/exchange.h"

#include "fulmar/routing/fingerprint.h"
#include "fulmar/telemetry/log.h"

#include <absl/random/distributions.h>

#include <cstdio>

namespace fulmar::gateway {

namespace {

using routing::attempt_quality;

/// Retry-After without a known route: an entry has a plan soon after its start.
constexpr auto UnroutedRetryAfter = std::chrono::milliseconds(300);

std::string secondsText(base::duration Time) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f",
                std::chrono::duration<double>(Time).count());
  return Text;
}

} // namespace

void exchange::deliver(std::size_t Index, target_response Response) {
  if (!Response.Complete)
    return beginStream(Index, std::move(Response));
  endAttempt(Index, attempt_quality::Good);
  deliver(std::move(Response));
}

void exchange::deliver(target_response Response) {
  finish(toCallerResponse(std::move(Response)));
}

caller_response exchange::toCallerResponse(target_response Response) {
  caller_response Out{.Status = Response.Status,
                      .Reason = std::move(Response.Reason),
                      .Body = std::move(Response.Body),
                      .Complete = Response.Complete};
  for (const auto &Field : Response.Fields) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    const std::string_view Value(Field.value().data(), Field.value().size());
    if (equalsIgnoringCase(Name, "Content-Length"))
      Out.ContentLength = Value;
    else if (!isHopByHop(Response.Fields, Name) &&
             !equalsIgnoringCase(Name, RelayResponseHeader))
      appendHeader(Out.Headers, Name, Value);
  }
  return Out;
}

/// Once streaming has begun, the response can't be replaced by another
/// target's.
void exchange::beginStream(std::size_t Index, target_response Response) {
  StreamingAttempt = Index;
  StreamStatus = Response.Status;
  dropProbes();
  cancelAttempts(attempt_quality::Cancelled, Index);
  RoundTimer.cancel();
  HedgeTimer.cancel();
  ChoosingTarget = false;
  stopWaiting();
  caller_response FirstPart = toCallerResponse(std::move(Response));
  addRelayResult(FirstPart);
  const handler Done = OnDone;
  Done(std::move(FirstPart));
}

void exchange::readPiece(target_connection::piece_handler Done) {
  // The exchange may have timed out between two pieces.
  if (!StreamingAttempt)
    return State.Loop.post([Done = std::move(Done)] {
      Done(base::fail(base::error_kind::TruncatedAnswer,
                      "the response has already ended"));
    });
  OnPiece = std::move(Done);
  Attempts[*StreamingAttempt].Connection->readPiece(
      [Self = shared_from_this()](base::result<response_piece> Piece) {
        if (!Piece) {
          Self->LastFailure = Piece.error();
          return Self->endStream(attempt_quality::ConnectionFailure,
                                 Piece.error().Message);
        }
        if (Piece.value().Last)
          Self->endStream(attempt_quality::Good, "");
        if (const auto Callback = std::exchange(Self->OnPiece, {}))
          Callback(std::move(Piece));
      });
}

void exchange::endStream(attempt_quality Quality, std::string_view Why) {
  const std::size_t Index = *std::exchange(StreamingAttempt, std::nullopt);
  if (Quality != attempt_quality::Good) {
    if (Quality == attempt_quality::ConnectionFailure)
      suspectCrash(Attempts[Index].Target);
    if (Quality != attempt_quality::Cancelled)
      Service->Placement.requestFailed(Attempts[Index].Target,
                                       State.Loop.now());
    Attempts[Index].Connection->close();
  }
  endAttempt(Index, Quality);
  stopWork();
  FailureCause = Why;
  recordOutcome(StreamStatus);
  OnDone = {};
  if (Quality == attempt_quality::Good)
    return;
  if (const auto Callback = std::exchange(OnPiece, {}))
    Callback(base::fail(base::error_kind::TruncatedAnswer, std::string(Why)));
}

/// Responds with an error of the gateway. A status that promises that the
/// request was not run is used only where that is certain.
void exchange::fail(const base::error &Error) {
  const base::error_answer &Kind = base::answerOf(Error.Kind);
  caller_response Out{.Status = static_cast<unsigned>(Kind.HttpStatus),
                      .Body = "{\"error\":\"" + std::string(Kind.Name) + "\"}"};
  appendHeader(Out.Headers, "Content-Type", "application/json");
  if (!RequestId.empty())
    appendHeader(Out.Headers, State.Options.HeaderNames.RequestId, RequestId);
  if (Out.Status == StatusUnavailable) {
    const bool Refused = Error.Kind == base::error_kind::Quarantined;
    appendHeader(Out.Headers, "Retry-After",
                 secondsText(Refused ? Kind.RetryAfter.value() : retryAfter()));
  } else if (Error.Kind == base::error_kind::QuotaExceeded) {
    appendHeader(Out.Headers, "Retry-After",
                 secondsText(std::max(QuotaRetryAfter, retryAfter())));
  }
  FailureCause = Error.Message;
  finish(std::move(Out));
}

base::duration exchange::retryAfter() const {
  if (Times == nullptr)
    return UnroutedRetryAfter;
  const double Spread = absl::Uniform(State.Random, 0.0, 1.0);
  if (LastAttemptRefused && timeUntilOpen() == base::duration())
    return placement::retryAfterRefusal(admissionRequest(), Spread);
  return placement::retryAfterClosure(
      Service ? timeUntilOpen(placement::request_sender::AnyEntry)
                    .value_or(base::duration())
              : base::duration(),
      admissionRequest(), Spread);
}

void exchange::giveUp() {
  if (TargetError && !anyRunning())
    return deliver(std::move(*TargetError));
  base::error Failure = LastFailure;
  if (!MayHaveRun)
    Failure.Kind =
        sentCount() == 0 ? LastFailure.Kind : base::error_kind::Saturated;
  else if (Failure.Kind != base::error_kind::TargetTimeout)
    Failure.Kind = base::error_kind::OutcomeUnknown;
  fail(Failure);
}

/// Cancels all probes, attempts and timers.
void exchange::stopWork() {
  dropProbes();
  cancelAttempts(attempt_quality::Cancelled);
  DeadlineTimer.cancel();
  RoundTimer.cancel();
  HedgeTimer.cancel();
  ChoosingTarget = false;
  stopWaiting();
  --State.RunningRequests;
  if (TokenTicket)
    State.Quotas.forget(*TokenTicket);
  TokenTicket.reset();
  if (TokenExpiresAt && Attempts.empty())
    State.Quotas.giveBack(Access.Account->Name, *TokenExpiresAt);
  TokenExpiresAt.reset();
}

void exchange::finish(caller_response Response) {
  stopWork();
  recordOutcome(Response.Status);
  addRelayResult(Response);
  const handler Done = std::exchange(OnDone, {});
  if (Done)
    Done(std::move(Response));
}

void exchange::recordOutcome(unsigned Status) {
  log(Status, FailureCause);
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
  StreamingAttempt.reset();
  stopWork();
  log(0, "the caller has gone");
  State.Metrics.counterOf("fulmar_requests_abandoned_total").add();
}

void exchange::dropProbes() {
  for (const auto &Probe : Probes)
    Probe->release();
  Probes.clear();
}

void exchange::cancelAttempts(attempt_quality Quality,
                              std::optional<std::size_t> Kept) {
  for (std::size_t Index = 0; Index < Attempts.size(); ++Index) {
    attempt &Attempt = Attempts[Index];
    if (!Attempt.Running || Kept == Index)
      continue;
    Attempt.Running = false;
    if (Attempt.Connection)
      Attempt.Connection->close();
    Attempt.Connection.reset();
    endPlacement(Attempt, Quality);
  }
}

std::string exchange::attemptsText() const {
  std::string Text;
  for (const attempt &Attempt : Attempts)
    Text += (Text.empty() ? "" : ",") + Attempt.Target + ":" +
            std::to_string(toMilliseconds(Attempt.SentAt - Request.ArrivedAt)) +
            ":" + Attempt.LoadAtSend + ":" + Attempt.Outcome;
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
       // Computed once the route is known.
       {"fingerprint",
        Fingerprint == 0 ? "" : routing::fingerprintText(Fingerprint)},
       {"status", std::to_string(Status)},
       {"cause", std::string(Reason)},
       {"from", Request.Relay ? Request.Relay->From : ""},
       {"sends", attemptsText()},
       {"usual_ms",
        std::to_string(Times == nullptr
                           ? 0
                           : toMilliseconds(Times->UnloadedTime.estimate()))},
       {"age_ms",
        std::to_string(Times == nullptr
                           ? 0
                           : toMilliseconds(Request.ArrivedAt - FirstSentAt))},
       {"had_ms",
        std::to_string(Times == nullptr
                           ? 0
                           : toMilliseconds(Deadline - Request.ArrivedAt))},
       {"took_ms",
        std::to_string(toMilliseconds(State.Loop.now() - Request.ArrivedAt))}});
}

} // namespace fulmar::gateway
