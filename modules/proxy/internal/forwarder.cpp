// Validation, claims, attempts and delivery of one request.

#include "fulmar/proxy/forwarder.h"

#include "attemptrunner.h"
#include "bodytransfer.h"

#include "fulmar/proxy/answerwriter.h"
#include "fulmar/proxy/messagehead.h"
#include "fulmar/routing/fingerprint.h"
#include "requestprofile.h"
#include "text.h"

#include <array>
#include <utility>

namespace fulmar::proxy {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

/// Headers that only an entry may set towards callers, and those that speak to
/// the entry alone.
constexpr std::array<const char *, 8> OwnHeaders = {
    "Fulmar-Error",    "Fulmar-Not-Run",     "Fulmar-Entries",
    "Fulmar-Load",     "Fulmar-Incarnation", "Fulmar-Not-Started",
    "Fulmar-Replayed", "Fulmar-Request-Id"};

/// One request on its way through the forwarder.
class forwarding {
public:
  forwarding(const forwarder_options &Settings, forwarder_parts &Collaborators,
             caller_exchange &From, std::string RequestId)
      : Options(Settings), Parts(Collaborators),
        Caller(From), Request{.Head = From.request(),
                              .Framing = From.body().framing(),
                              .Id = std::move(RequestId)},
        AnswerId(From.request().get("Fulmar-Request-Id", Request.Id)),
        Parent(
            telemetry::parseTraceparent(From.request().get("traceparent", ""))),
        Started(currentInstant()), StartedAt(std::chrono::system_clock::now()) {
    Request.Trace = telemetry::startChild(Parent);
  }

  void run() {
    serve();
    report();
  }

private:
  void serve();
  /// Counts the request and records its span.
  void report() const;
  base::result<void> prepare();
  base::result<void> keepBody();
  void attempt();
  void claimAndAttempt();
  void answerClaimed(const claims::claim_result &Claimed);
  void settle(claims::claim_end End,
              const std::optional<claims::recorded_answer> &Answer = {});
  void settleWithout(const attempt_runner &Runner);
  void deliver(target_exchange &Winner, bool Streaming);
  void deliverWhole(target_exchange &Winner, HTTPResponse &Response);
  void deliverStream(target_exchange &Winner, HTTPResponse &Response);
  HTTPResponse answerHead(const HTTPResponse &From) const;
  void refuse(const base::error &Error, bool ProvedNotRun,
              bool RetriesUsed = false);

  const forwarder_options &Options;
  forwarder_parts &Parts;
  caller_exchange &Caller;
  forward_request Request;
  /// The id that the caller sees: its own where it sent one.
  const std::string AnswerId;
  const std::optional<telemetry::trace_context> Parent;
  const base::instant Started;
  const std::chrono::system_clock::time_point StartedAt;
  service_policy Policy;
  claims::claim_request Claim;
  /// Name of the outcome in metrics and spans.
  std::string Result = "answered";
  bool Claimed = false;
};

void forwarding::serve() {
  const auto Prepared = prepare();
  if (!Prepared.has_value())
    return refuse(Prepared.error(), !Request.Head.has("Idempotency-Key"));
  if (!Request.Profile.IdempotencyKey)
    return attempt();
  claimAndAttempt();
}

void forwarding::report() const {
  const std::string &Service = Request.Profile.Service.str();
  if (Parts.Metrics != nullptr) {
    Parts.Metrics
        ->counterOf(
            "fulmar_requests_total",
            telemetry::labels({{"service", Service}, {"result", Result}}))
        .add();
    Parts.Metrics
        ->latencyOf("fulmar_request_seconds",
                    telemetry::labels({{"service", Service}}))
        .record(currentInstant() - Started);
  }
  if (Parts.Spans == nullptr)
    return;
  Parts.Spans->record({.Context = Request.Trace,
                       .ParentSpanId = Parent ? Parent->SpanId : "",
                       .Name = "forward",
                       .Start = StartedAt,
                       .End = std::chrono::system_clock::now(),
                       .Attributes = {{"service", Service},
                                      {"method", Request.Head.getMethod()},
                                      {"request_id", Request.Id},
                                      {"result", Result}},
                       .Failed = Result != "answered"});
}

base::result<void> forwarding::prepare() {
  BOOST_OUTCOME_TRY(Service, serviceOf(Request.Head));
  const auto Found = Parts.PolicyOf(Service);
  if (!Found)
    return base::fail(base::error_kind::UnknownService,
                      "unknown service " + Service.str());
  Policy = *Found;
  Request.Timeout = Policy.Timeout;
  Request.CallerDeadline = Request.Head.has("Fulmar-Deadline-Ms");
  BOOST_OUTCOME_TRY(
      Profile, deriveProfile(Request.Head, Service, Policy, currentInstant()));
  Request.Profile = Profile;
  if (Request.Framing.Kind == framing_kind::Fixed &&
      Request.Framing.Length > Policy.MaxBodyBytes)
    return base::fail(base::error_kind::RequestTooLarge, "body too large");
  BOOST_OUTCOME_TRY(keepBody());
  Request.Profile.Replayable = Request.KeptBody.has_value();
  Request.ContentDigest =
      contentDigest(Request.Head, Request.Framing, Request.KeptBody);
  Request.Profile.Fingerprint =
      Profile.IdempotencyKey
          ? routing::fingerprintOfKey(Service.str(), *Profile.IdempotencyKey)
          : Request.ContentDigest;
  return base::success();
}

base::result<void> forwarding::keepBody() {
  const bool Small = Request.Framing.Kind == framing_kind::None ||
                     (Request.Framing.Kind == framing_kind::Fixed &&
                      Request.Framing.Length <= Options.KeptBodyBytes);
  if (!Small)
    return base::success();
  Caller.invite();
  std::string Text;
  const body_state Read =
      Caller.readWhole(Text, Options.KeptBodyBytes, Request.Profile.Deadline);
  if (Read == body_state::Waiting)
    return base::fail(base::error_kind::DeadlinePassed,
                      "the body did not arrive in time");
  if (Read != body_state::End)
    return base::fail(base::error_kind::BadRequest, "incomplete body");
  Request.KeptBody = std::move(Text);
  return base::success();
}

void forwarding::attempt() {
  attempt_runner Runner(Options, Parts, Request, Caller, Policy.MaxBodyBytes);
  const run_outcome Outcome = Runner.run();
  if (Outcome.Winner)
    return deliver(*Outcome.Winner, Outcome.Streaming);
  settleWithout(Runner);
  if (Outcome.Error)
    return refuse(*Outcome.Error, Runner.provedNotRun(), Runner.retriesUsed());
  Result = "caller-gone";
  Caller.breakOff();
}

void forwarding::claimAndAttempt() {
  Claim = {.Service = Request.Profile.Service,
           .Key = *Request.Profile.IdempotencyKey,
           .ContentDigest = Request.ContentDigest,
           .Holder = Request.Id};
  const auto Answer = Parts.Claims.claim(Claim);
  // Without a granted claim an earlier arrival of the request may have run.
  if (!Answer.has_value())
    return refuse(Answer.error(),
                  Answer.error().Kind == base::error_kind::ClaimMismatch);
  if (Answer.value().State != claims::claim_state::Granted)
    return answerClaimed(Answer.value());
  Claimed = true;
  attempt();
}

void forwarding::answerClaimed(const claims::claim_result &Known) {
  if (Known.State == claims::claim_state::InProgress)
    return refuse({base::error_kind::ClaimInProgress,
                   "the request is being served; ask again later"},
                  false);
  if (Known.State != claims::claim_state::Recorded || !Known.Answer)
    return refuse({base::error_kind::OutcomeUnknown,
                   "the request may have run; it is not run again"},
                  false);
  HTTPResponse Response;
  Response.setStatusAndReason(
      static_cast<HTTPResponse::HTTPStatus>(Known.Answer->Status));
  if (!Known.Answer->ContentType.empty())
    Response.set(HTTPResponse::CONTENT_TYPE, Known.Answer->ContentType);
  Response.set("Fulmar-Replayed", "true");
  Response.set("Fulmar-Request-Id", AnswerId);
  Caller.sendWhole(Response, Known.Answer->Body);
}

void forwarding::settle(claims::claim_end End,
                        const std::optional<claims::recorded_answer> &Answer) {
  // A claim that can't be settled ends as unknown; nothing else is to be done.
  if (std::exchange(Claimed, false))
    (void)Parts.Claims.settle(Claim, End, Answer);
}

void forwarding::settleWithout(const attempt_runner &Runner) {
  settle(Runner.provedNotRun() ? claims::claim_end::NotRun
                               : claims::claim_end::Unknown);
}

HTTPResponse forwarding::answerHead(const HTTPResponse &From) const {
  HTTPResponse Response;
  Response.setStatusAndReason(From.getStatus(), From.getReason());
  copyEndToEnd(From, Response);
  for (const char *Name : OwnHeaders)
    Response.erase(Name);
  Response.set("Fulmar-Request-Id", AnswerId);
  return Response;
}

void forwarding::deliver(target_exchange &Winner, bool Streaming) {
  HTTPResponse Response = answerHead(Winner.response());
  if (Streaming)
    return deliverStream(Winner, Response);
  deliverWhole(Winner, Response);
}

void forwarding::deliverWhole(target_exchange &Winner, HTTPResponse &Response) {
  const std::string Text = Winner.heldBody();
  const body_framing Framing = Winner.framing();
  const std::string Length = Winner.response().get("Content-Length", "");
  Winner.finish(routing::attempt_end::Answered);
  settle(
      claims::claim_end::Finished,
      claims::recorded_answer{.Status = Response.getStatus(),
                              .ContentType = Response.get("Content-Type", ""),
                              .Body = Text});
  if (Framing.Kind != framing_kind::None) {
    Caller.sendWhole(Response, Text);
    return;
  }
  // An answer to HEAD, 204 or 304: the length describes no body.
  if (!Length.empty())
    Response.set("Content-Length", Length);
  Caller.sendBare(Response);
}

void forwarding::deliverStream(target_exchange &Winner,
                               HTTPResponse &Response) {
  std::optional<std::uint64_t> Length;
  if (Winner.framing().Kind == framing_kind::Fixed)
    Length = Winner.framing().Length;
  transfer_end End = transfer_end::CallerBroke;
  if (Caller.begin(Response, Length) == io_status::Done &&
      Caller.sendPiece(Winner.heldBody()) == io_status::Done)
    End = transferDownload(Winner, Caller, Options.BodyIdleTimeout);
  switch (End) {
  case transfer_end::Done:
    Winner.finish(routing::attempt_end::Answered);
    break;
  case transfer_end::TimedOut:
    Winner.finish(routing::attempt_end::TimedOut);
    break;
  case transfer_end::TargetBroke:
    Winner.finish(routing::attempt_end::Truncated);
    break;
  default:
    Winner.finish(routing::attempt_end::Cancelled);
  }
  if (End != transfer_end::Done) {
    Result = "broken";
    Caller.breakOff();
  }
  // Too large to record.
  settle(claims::claim_end::Unknown);
}

void forwarding::refuse(const base::error &Error, bool ProvedNotRun,
                        bool RetriesUsed) {
  Result = base::answerOf(Error.Kind).Name;
  sendRefusal(Caller, {.Error = Error,
                       .ProvedNotRun = ProvedNotRun,
                       .RetriesUsed = RetriesUsed,
                       .Entries = Parts.OtherEntries ? Parts.OtherEntries()
                                                     : std::string(),
                       .RequestId = AnswerId});
}

} // namespace

forwarder::forwarder(forwarder_options Settings, forwarder_parts Collaborators)
    : Options(std::move(Settings)), Parts(std::move(Collaborators)) {}

std::string forwarder::nextRequestId() {
  return Options.Instance + std::to_string(++Requests);
}

void forwarder::handle(caller_exchange &Caller) {
  forwarding(Options, Parts, Caller, nextRequestId()).run();
}

} // namespace fulmar::proxy
