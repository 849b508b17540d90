// Passes requests on to another entry while this one has no contact to the
// service's targets, and answers requests that another entry has passed on.
//
// A request is passed on at most once: an entry never passes on what it got
// from another. The first entry keeps the deadline, the attempts and the retry
// budget; the second one routes the request by its own plan, keeps to the
// limits of the targets, and sends once.

#include "internal/exchange.h"

namespace fulmar::gateway {

namespace {

using routing::attempt_quality;

/// Maximum number of entries to which one request is passed on.
constexpr std::size_t MaxRelays = 6;

} // namespace

bool exchange::passOn() {
  if (Request.Relay) {
    TryElsewhere = true;
    ChoosingTarget = false;
    if (!anyRunning()) {
      LastFailure = {base::error_kind::NoTarget, "no target answers"};
      giveUp();
    }
    return true;
  }
  return RelayedTo.size() < MaxRelays && relay();
}

bool exchange::relay() {
  const base::instant Now = State.Loop.now();
  const bool IsRepeat = sentCount() > 0;
  if (IsRepeat && !Service->Retries.available(Now))
    return false;
  const auto Peer = Service->Relays.pick(RelayedTo, Now);
  if (!Peer)
    return false;
  RelayedTo.insert(Peer->Id);
  const connection_ptr Connection =
      State.RelayPool.acquire({.Id = Peer->Id, .Address = Peer->Address});
  if (!Connection || (IsRepeat && !Service->Retries.take(Now)))
    return false;
  dropProbes();
  RoundTimer.cancel();
  stopWaiting();
  ChoosingTarget = false;
  AfterWait = false;
  Service->Relays.requestSent(Peer->Id);
  Attempts.push_back({.Target = Peer->Id,
                      .Relayed = true,
                      .Connection = Connection,
                      .SentAt = Now,
                      .LoadAtSend = "relay"});
  const std::string About =
      formatRelayRequest({.From = State.Options.InstanceId,
                          .PlanVersion = Plan->Version,
                          .Service = Service->Service.Name,
                          .Age = Now - FirstSentAt});
  Connection->call({.Head = requestHead(RelayRequestHeader, About),
                    .Body = Request.Body,
                    .RequestId = RequestId,
                    .HeadOnly = Request.Method == "HEAD"},
                   [Self = shared_from_this(), Index = Attempts.size() - 1](
                       base::result<target_response> Result) {
                     Self->onAttemptEnd(Index, std::move(Result));
                   });
  armHedge();
  return true;
}

void exchange::onRelayEnd(std::size_t Index,
                          base::result<target_response> Result) {
  if (!Result) {
    LastFailure = Result.error();
    if (LastFailure.Kind == base::error_kind::Unreachable)
      return relayElsewhere(Index, "unreachable");
    Service->Relays.recordUseless(Attempts[Index].Target, State.Loop.now());
    MayHaveRun = true;
    countRelay("broken");
    endAttempt(Index, attempt_quality::ConnectionFailure);
    return retry();
  }
  const auto About =
      parseRelayResult(headerOf(Result.value().Fields, RelayResponseHeader));
  // Without this header, the peer has rejected the request before it read it
  // as one.
  if (!About || About->Outcome == relay_outcome::TryElsewhere)
    return relayElsewhere(Index, "elsewhere");
  onRelayResponse(Index, *About, std::move(Result).value());
}

void exchange::relayElsewhere(std::size_t Index, std::string_view Outcome) {
  Attempts[Index].NotSent = true;
  Service->Relays.recordUseless(Attempts[Index].Target, State.Loop.now());
  countRelay(Outcome);
  LastFailure = {base::error_kind::NoTarget, "no entry reaches a target"};
  endAttempt(Index, attempt_quality::Cancelled);
  if (ChoosingTarget || anyRunning())
    return;
  Round = 0;
  Considered.clear();
  startProbeRound();
}

void exchange::onRelayResponse(std::size_t Index, const relay_result &Result,
                               target_response Response) {
  constexpr unsigned FirstServerError = 500;
  Service->Relays.recordServed(Attempts[Index].Target);
  // What the target said to the second entry binds this one too: its callers
  // get the target's response through it.
  if (!Result.TargetKey.empty())
    State.applyBackpressure({.ConnectionKey = Result.TargetKey,
                             .Status = Response.Status,
                             .Fields = Response.Fields});
  if (Result.Outcome == relay_outcome::Refused) {
    Attempts[Index].NotSent = true;
    countRelay("refused");
    LastFailure = {base::error_kind::Saturated, "refused by another entry"};
    endAttempt(Index, attempt_quality::Error);
    if (anyRunning())
      return retryHedgeLater();
    return MayHaveRun ? giveUp() : deliver(std::move(Response));
  }
  if (Response.Status < FirstServerError) {
    countRelay("served");
    return deliver(Index, std::move(Response));
  }
  countRelay("failed");
  endAttempt(Index, attempt_quality::Error);
  LastAttemptRefused = Response.Status == StatusUnavailable;
  MayHaveRun = MayHaveRun || !LastAttemptRefused;
  LastFailure = {LastAttemptRefused ? base::error_kind::Saturated
                                    : base::error_kind::OutcomeUnknown,
                 "relayed response with status " +
                     std::to_string(Response.Status)};
  if (!LastAttemptRefused && Response.Complete)
    TargetError = std::make_unique<target_response>(std::move(Response));
  retry();
}

void exchange::countRelay(std::string_view Outcome) const {
  State.Metrics
      .counterOf("fulmar_requests_relayed_total",
                 "outcome=\"" + std::string(Outcome) + "\"")
      .add();
}

void exchange::addRelayResult(caller_response &Response) const {
  if (!Request.Relay)
    return;
  relay_result Result{.Outcome = sentCount() > 0 ? relay_outcome::Sent
                                 : TryElsewhere  ? relay_outcome::TryElsewhere
                                                 : relay_outcome::Refused};
  const fleet::target_report *Target =
      Attempts.empty() ? nullptr
                       : Service->Placement.find(Attempts.back().Target);
  if (Target != nullptr)
    Result.TargetKey = connection_pool::keyOf(*Target);
  appendHeader(Response.Headers, RelayResponseHeader,
               formatRelayResult(Result));
}

} // namespace fulmar::gateway
