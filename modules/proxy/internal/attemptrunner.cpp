// Attempts, further attempts and hedges of one request.

#include "attemptrunner.h"

#include "fulmar/routing/retrydecision.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace fulmar::proxy {

using routing::attempt_end;

namespace {

bool isTransient(int Status) {
  using Poco::Net::HTTPResponse;
  return Status == HTTPResponse::HTTP_BAD_GATEWAY ||
         Status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE ||
         Status == HTTPResponse::HTTP_GATEWAY_TIMEOUT;
}

} // namespace

attempt_runner::attempt_runner(const forwarder_options &Settings,
                               forwarder_parts &Collaborators,
                               forward_request &Asked, caller_exchange &From,
                               std::uint64_t MaxUploadBytes)
    : Options(Settings), Parts(Collaborators), Request(Asked), Caller(From),
      MaxUpload(MaxUploadBytes) {}

run_outcome attempt_runner::run() {
  while (!Done) {
    if (Active.empty())
      startAttempt(Attempts);
    else
      awaitAnswers();
  }
  for (exchange &Exchange : Active)
    fail(std::move(Exchange), attempt_end::Cancelled);
  Active.clear();
  return std::move(Outcome);
}

bool attempt_runner::provedNotRun() const {
  return routing::provedNotRun(Attempts);
}

bool attempt_runner::retriesUsed() const {
  return !routing::reachedNoTarget(Attempts);
}

base::duration attempt_runner::timeLeft() const {
  return std::max(Request.Profile.Deadline - currentInstant(),
                  base::duration(0));
}

bool attempt_runner::maySendAgain() const {
  const bool BodyAtHand = Request.KeptBody || !Caller.body().begun();
  return BodyAtHand && (Request.Profile.Idempotent || provedNotRun());
}

void attempt_runner::startAttempt(std::span<const routing::attempt> Earlier) {
  HedgeAt.reset();
  if (!Attempts.empty() && !maySendAgain())
    return giveUp({provedNotRun() ? base::error_kind::Saturated
                                  : base::error_kind::OutcomeUnknown,
                   "the request can't be sent a second time"});
  if (timeLeft() == base::duration(0))
    return giveUp({base::error_kind::DeadlinePassed, "the deadline passed"});
  const auto Permit = Parts.Router.acquire(Request.Profile, Earlier);
  if (!Permit.has_value())
    return giveUp(Permit.error());
  auto Exchange = std::make_unique<target_exchange>(
      Parts, Request, Permit.value(), ++Started, Options.HeldAnswerBytes);
  if (Caller.caller().closedByPeer()) {
    Done = true;
    return;
  }
  if (!connect(*Exchange))
    return fail(std::move(Exchange), attempt_end::NotConnected);
  if (Permit.value().HedgeAfter && Request.Profile.Idempotent &&
      Request.KeptBody && Active.empty())
    HedgeAt = currentInstant() + *Permit.value().HedgeAfter;
  dispatch(std::move(Exchange));
}

bool attempt_runner::connect(target_exchange &Exchange) {
  const routing::candidate &Target = Exchange.permit().Target;
  const base::duration MaxIdle = Request.Profile.Idempotent
                                     ? base::duration::max()
                                     : Options.NonIdempotentReuse;
  auto Kept = Parts.Pool.take(Target.Address, Target.Incarnation, MaxIdle);
  if (!Kept) {
    auto Opened = Parts.Pool.open(Target.Address,
                                  std::min(Options.ConnectTimeout, timeLeft()));
    if (!Opened.has_value())
      return false;
    Kept = std::move(Opened).value();
  }
  Exchange.connected(std::move(Kept));
  return true;
}

void attempt_runner::dispatch(exchange Exchange) {
  const io_status Sent =
      Exchange->sendRequest(Request.Profile.Deadline, timeLeft());
  if (Sent == io_status::TimedOut)
    return fail(std::move(Exchange), attempt_end::TimedOut);
  // A target that closed the connection may have answered before.
  if (Sent == io_status::Done && !Request.KeptBody)
    return sendUpload(std::move(Exchange));
  Active.push_back(std::move(Exchange));
}

void attempt_runner::sendUpload(exchange Exchange) {
  constexpr auto Unbounded = base::instant::max();
  Caller.invite();
  const transfer_end End = transferUpload(
      Caller, Exchange->target(), Request.Framing,
      {.MaxBytes = MaxUpload,
       .IdleTimeout = Options.BodyIdleTimeout,
       .Deadline =
           Request.CallerDeadline ? Request.Profile.Deadline : Unbounded});
  if (End == transfer_end::Done)
    Exchange->requestSent();
  if (End == transfer_end::Done || End == transfer_end::EarlyAnswer) {
    if (!Request.CallerDeadline)
      Request.Profile.Deadline = currentInstant() + Request.Timeout;
    Active.push_back(std::move(Exchange));
    return;
  }
  if (End == transfer_end::TimedOut)
    return fail(std::move(Exchange), attempt_end::TimedOut);
  // The caller's fault: the target must not take the part for the whole.
  Exchange->target().breakOff();
  fail(std::move(Exchange), attempt_end::Cancelled);
  if (End == transfer_end::CallerMalformed)
    Outcome.Error = {base::error_kind::BadRequest, "malformed chunk"};
  if (End == transfer_end::CallerTooLarge)
    Outcome.Error = {base::error_kind::RequestTooLarge, "body too large"};
  Done = true;
}

void attempt_runner::awaitAnswers() {
  constexpr std::size_t MaxWatched = 3;
  std::array<pollfd, MaxWatched> Watched{};
  Watched[0] = {Caller.caller().descriptor(), POLLRDHUP, 0};
  for (std::size_t Index = 0; Index < Active.size(); ++Index)
    Watched[Index + 1] = {Active[Index]->target().descriptor(), POLLIN, 0};
  const base::instant Until = std::min(
      Request.Profile.Deadline, HedgeAt.value_or(Request.Profile.Deadline));
  constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
  const auto Wait = std::max<std::int64_t>(
      0, (Until - currentInstant()).count() / MicrosecondsPerMillisecond + 1);
  const int Ready =
      ::poll(Watched.data(), Active.size() + 1, static_cast<int>(Wait));
  if (Ready == 0 && HedgeAt && currentInstant() >= *HedgeAt)
    return startHedge();
  if (currentInstant() >= Request.Profile.Deadline)
    return failAllAtDeadline();
  if (Ready <= 0)
    return;
  // An upload that is still arriving makes a closed caller show otherwise.
  if (Watched[0].revents != 0) {
    Done = true;
    return;
  }
  for (std::size_t Index = Active.size(); Index-- > 0 && !Done;)
    if (Watched[Index + 1].revents != 0)
      takeAnswer(Index);
}

void attempt_runner::startHedge() {
  HedgeAt.reset();
  std::vector<routing::attempt> Earlier = Attempts;
  for (const exchange &Exchange : Active)
    Earlier.push_back(Exchange->record(attempt_end::TimedOut));
  const std::size_t Before = Active.size();
  const auto Permit = Parts.Router.acquire(Request.Profile, Earlier);
  if (!Permit.has_value() || Before != 1)
    return;
  auto Exchange = std::make_unique<target_exchange>(
      Parts, Request, Permit.value(), ++Started, Options.HeldAnswerBytes);
  if (!connect(*Exchange))
    return fail(std::move(Exchange), attempt_end::NotConnected);
  dispatch(std::move(Exchange));
}

void attempt_runner::takeAnswer(std::size_t Index) {
  const exchange_progress Progress = Active[Index]->advance();
  if (Progress == exchange_progress::Waiting)
    return;
  exchange Exchange = std::move(Active[Index]);
  Active.erase(Active.begin() + static_cast<std::ptrdiff_t>(Index));
  switch (Progress) {
  case exchange_progress::Whole:
    return takeWhole(std::move(Exchange));
  case exchange_progress::Streaming:
    Outcome.Streaming = true;
    Outcome.Winner = std::move(Exchange);
    Done = true;
    return;
  case exchange_progress::Refused:
    return fail(std::move(Exchange), attempt_end::Refused);
  case exchange_progress::Truncated:
    return fail(std::move(Exchange), attempt_end::Truncated);
  case exchange_progress::Broken:
  case exchange_progress::Waiting:
    break;
  }
  fail(std::move(Exchange), attempt_end::Broken);
}

void attempt_runner::takeWhole(exchange Exchange) {
  const bool MayImprove = isTransient(Exchange->response().getStatus()) &&
                          Request.Profile.Idempotent && Request.KeptBody;
  if (!MayImprove || Fallback) {
    Outcome.Winner = std::move(Exchange);
    Done = true;
    return;
  }
  Attempts.push_back(Exchange->record(attempt_end::Answered));
  Exchange->finish(attempt_end::Answered);
  Fallback = std::move(Exchange);
}

void attempt_runner::fail(exchange Exchange, attempt_end End) {
  Attempts.push_back(Exchange->record(End));
  Exchange->finish(End);
}

void attempt_runner::failAllAtDeadline() {
  for (exchange &Exchange : Active)
    fail(std::move(Exchange), attempt_end::TimedOut);
  Active.clear();
  giveUp({base::error_kind::DeadlinePassed, "the deadline passed"});
}

void attempt_runner::giveUp(const base::error &Reason) {
  if (Fallback)
    Outcome.Winner = std::move(Fallback);
  else
    Outcome.Error = finalError(Reason);
  Done = true;
}

base::error attempt_runner::finalError(const base::error &Refusal) const {
  if (Refusal.Kind == base::error_kind::Quarantined)
    return Refusal;
  const base::error_kind Kind = routing::finalErrorKind(Attempts, Refusal.Kind);
  if (Kind == Refusal.Kind)
    return Refusal;
  return {Kind, "gave up after " + std::to_string(Attempts.size()) +
                    " attempts: " + Refusal.Message};
}

} // namespace fulmar::proxy
