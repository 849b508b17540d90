// Sends a request to a target and takes in its answer.

#include "targetexchange.h"

#include "fulmar/proxy/messagehead.h"
#include "fulmar/routing/retrybudget.h"
#include "text.h"

#include <algorithm>
#include <array>
#include <locale>
#include <sstream>
#include <utility>

namespace fulmar::proxy {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

constexpr int FirstFinalStatus = 200;

std::optional<double> parseLoad(const std::string &Text) {
  std::istringstream Stream(Text);
  Stream.imbue(std::locale::classic());
  double Load = 0;
  if (!(Stream >> Load) || !Stream.eof() || !(Load >= 0))
    return std::nullopt;
  return std::min(Load, 1.0);
}

std::string endName(routing::attempt_end End) {
  constexpr std::array<const char *, 7> Names = {
      "answered",  "not-connected", "refused",  "broken",
      "timed-out", "truncated",     "cancelled"};
  return Names[static_cast<std::size_t>(End)];
}

} // namespace

target_exchange::target_exchange(forwarder_parts &Collaborators,
                                 const forward_request &Asked,
                                 routing::permit Granted,
                                 std::size_t AttemptNumber,
                                 std::size_t MaxHeldBytes)
    : Parts(Collaborators), Request(Asked), Permit(std::move(Granted)),
      Number(AttemptNumber), Id(Asked.Id + "." + std::to_string(Number)),
      HeldBytes(MaxHeldBytes), Started(currentInstant()),
      StartedAt(std::chrono::system_clock::now()),
      Trace(telemetry::startChild(Asked.Trace)) {}

target_exchange::~target_exchange() { finish(routing::attempt_end::Cancelled); }

void target_exchange::connected(std::unique_ptr<connection> Ready) {
  Connection = std::move(Ready);
  SentBefore = Connection->bytesSent();
}

std::string target_exchange::requestText(base::duration Left) const {
  HTTPRequest Forwarded(Request.Head.getMethod(), Request.Head.getURI(),
                        HTTPRequest::HTTP_1_1);
  copyEndToEnd(Request.Head, Forwarded);
  if (!Forwarded.has(HTTPRequest::HOST))
    Forwarded.set(HTTPRequest::HOST, Permit.Target.Address);
  Forwarded.erase("Expect");
  announceFraming(Forwarded, Request.Framing);
  if (Number > 1)
    Forwarded.set(routing::RetryHeader, "1");
  Forwarded.set("Fulmar-Request-Id", Id);
  Forwarded.set("traceparent", telemetry::formatTraceparent(Trace));
  Forwarded.set(
      "Fulmar-Deadline-Ms",
      std::to_string(std::max<std::int64_t>(
          1, std::chrono::duration_cast<std::chrono::milliseconds>(Left)
                 .count())));
  return textOf(Forwarded);
}

io_status target_exchange::sendRequest(base::instant Deadline,
                                       base::duration Left) {
  std::string Text = requestText(Left);
  if (Request.KeptBody)
    Text.append(*Request.KeptBody);
  const io_status Status = Connection->send(Text, Deadline);
  RequestSent = Status == io_status::Done && Request.KeptBody.has_value();
  return Status;
}

exchange_progress target_exchange::advance() {
  while (true) {
    const io_status Status = Connection->fillNow();
    const exchange_progress Progress = progress();
    if (Progress != exchange_progress::Waiting)
      return Progress;
    if (Status == io_status::TimedOut)
      return Progress;
    if (Status != io_status::Done)
      return ended(Status);
  }
}

exchange_progress target_exchange::progress() {
  return Response ? readBody() : readHead();
}

exchange_progress target_exchange::readHead() {
  while (true) {
    const auto Length = headLength(Connection->unread());
    if (Length.value_or(Connection->unread().size()) > MaxHeadBytes)
      return exchange_progress::Broken;
    if (!Length)
      return exchange_progress::Waiting;
    const auto Head = parseResponse(Connection->unread().substr(0, *Length));
    Connection->consume(*Length);
    if (!Head.has_value() ||
        Head.value().getStatus() == HTTPResponse::HTTP_SWITCHING_PROTOCOLS)
      return exchange_progress::Broken;
    if (Head.value().getStatus() < FirstFinalStatus)
      continue;
    Response = Head.value();
    return acceptHead();
  }
}

exchange_progress target_exchange::acceptHead() {
  // A target that echoes another request's id answers that other request.
  if (Response->get("Fulmar-Request-Id", Id) != Id)
    return exchange_progress::Broken;
  const auto Framing = responseFraming(*Response, Request.Head.getMethod());
  if (!Framing.has_value())
    return exchange_progress::Broken;
  Body.emplace(*Connection, Framing.value());
  observe();
  return readBody();
}

exchange_progress target_exchange::readBody() {
  const bool Small =
      framing().Kind == framing_kind::None ||
      (framing().Kind == framing_kind::Fixed && framing().Length <= HeldBytes);
  const bool Hold = Small || Request.Profile.IdempotencyKey || refused();
  while (Held.size() <= HeldBytes) {
    const body_piece Piece = Body->next();
    if (Piece.State == body_state::End)
      return refused() ? exchange_progress::Refused : exchange_progress::Whole;
    if (Piece.State == body_state::Waiting)
      return Hold ? exchange_progress::Waiting : exchange_progress::Streaming;
    if (Piece.State != body_state::Data)
      return exchange_progress::Truncated;
    Held.append(Piece.Bytes);
  }
  return refused() ? exchange_progress::Refused : exchange_progress::Streaming;
}

exchange_progress target_exchange::ended(io_status How) {
  if (!Response)
    return exchange_progress::Broken;
  if (refused())
    return exchange_progress::Refused;
  return Body->inputEnded(How) == body_state::End
             ? exchange_progress::Whole
             : exchange_progress::Truncated;
}

bool target_exchange::refused() const {
  return Response->getStatus() == HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
         equalsIgnoringCase(Response->get("Fulmar-Not-Started", ""), "true");
}

bool target_exchange::inStep() const {
  return RequestSent && Response && keepsAlive(*Response) && Body->complete() &&
         framing().Kind != framing_kind::UntilClose &&
         Connection->unread().empty();
}

void target_exchange::observe() const {
  target_observation Observation{.Target = Permit.Target.Target,
                                 .Believed = Permit.Target.Incarnation};
  if (Response->has("Fulmar-Incarnation"))
    Observation.Incarnation = Response->get("Fulmar-Incarnation");
  if (Response->has("Fulmar-Load"))
    Observation.Load = parseLoad(Response->get("Fulmar-Load"));
  if (Observation.Incarnation || Observation.Load)
    Parts.Observer.observed(Observation);
}

routing::attempt target_exchange::record(routing::attempt_end End) const {
  return {.Target = Permit.Target.Target,
          .Incarnation = Permit.Target.Incarnation,
          .BytesSent = Connection && Connection->bytesSent() > SentBefore,
          .End = End,
          .Status = Response ? Response->getStatus() : 0,
          .Elapsed = currentInstant() - Started,
          .RetriesExhausted =
              Response && Response->has(routing::RetriesExhaustedHeader)};
}

void target_exchange::finish(routing::attempt_end End) {
  if (std::exchange(Finished, true))
    return;
  const routing::attempt Attempt = record(End);
  const bool Complete = End == routing::attempt_end::Answered ||
                        End == routing::attempt_end::Refused;
  if (Complete && inStep())
    Parts.Pool.put(Permit.Target.Address, Permit.Target.Incarnation,
                   std::move(Connection));
  Connection.reset();
  Parts.Router.finish(Permit, Attempt, Request.Profile);
  recordSpan(Attempt);
}

void target_exchange::recordSpan(const routing::attempt &Attempt) const {
  if (Parts.Spans == nullptr)
    return;
  Parts.Spans->record(
      {.Context = Trace,
       .ParentSpanId = Request.Trace.SpanId,
       .Name = "attempt",
       .Start = StartedAt,
       .End = std::chrono::system_clock::now(),
       .Attributes = {{"target", Attempt.Target.str()},
                      {"address", Permit.Target.Address},
                      {"status", std::to_string(Attempt.Status)},
                      {"end", endName(Attempt.End)}},
       .Failed = Attempt.End != routing::attempt_end::Answered});
}

} // namespace fulmar::proxy
