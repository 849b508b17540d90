// The loop of a caller's connection.

#include "frontconnection.h"

#include "fulmar/proxy/answerwriter.h"
#include "fulmar/proxy/messagehead.h"
#include "text.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <poll.h>

#include <array>

namespace fulmar::proxy {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::chrono::seconds ClosePatience(1);

/// Keeps a request in the list of those in flight.
class in_flight_entry {
public:
  in_flight_entry(in_flight_list &Shared, remaining_request Request)
      : List(Shared), Id(List.add(std::move(Request))) {}
  ~in_flight_entry() { List.remove(Id); }
  in_flight_entry(const in_flight_entry &) = delete;
  in_flight_entry &operator=(const in_flight_entry &) = delete;

  void describe(const HTTPRequest &Request) {
    List.describe(Id, Request.getMethod(), Request.getURI());
  }

private:
  in_flight_list &List;
  const std::uint64_t Id;
};

/// False when \p Target is no valid URI.
bool readTarget(const std::string &Target, plain_request &Request) {
  try {
    const Poco::URI Parsed(Target);
    Request.Path = Parsed.getPath();
    for (const auto &[Name, Value] : Parsed.getQueryParameters())
      Request.Query[Name] = Value;
    return true;
  } catch (const Poco::Exception &) {
    return false;
  }
}

void refusePlain(caller_exchange &Exchange, const base::error &Error) {
  sendRefusal(Exchange, {.Error = Error, .ProvedNotRun = true});
}

HTTPResponse headOf(const plain_answer &Answer) {
  HTTPResponse Response;
  Response.setStatusAndReason(
      static_cast<HTTPResponse::HTTPStatus>(Answer.Status));
  Response.setContentType(Answer.ContentType);
  for (const auto &[Name, Value] : Answer.Headers)
    Response.set(Name, Value);
  return Response;
}

} // namespace

front_connection::front_connection(const Poco::Net::StreamSocket &Socket,
                                   front_state &Shared)
    : TCPServerConnection(Socket), State(Shared), Caller(Socket),
      Peer(Caller.peer()) {}

void front_connection::run() {
  try {
    while (awaitRequest() && serveRequest())
      ;
  } catch (const Poco::Exception &) {
    // An unexpected fault of the library ends this connection only.
    Caller.breakOff();
  }
}

bool front_connection::awaitRequest() {
  if (!Caller.unread().empty())
    return true;
  constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
  std::array<pollfd, 2> Watched = {
      pollfd{Caller.descriptor(), POLLIN, 0},
      pollfd{State.Closing.descriptor(), POLLIN, 0}};
  const int Ready = ::poll(Watched.data(), Watched.size(),
                           static_cast<int>(State.Options.IdleTimeout.count() /
                                            MicrosecondsPerMillisecond));
  // A request that has arrived is served even when the server closes.
  return Ready > 0 && Watched[0].revents != 0 &&
         Caller.fillNow() == io_status::Done;
}

bool front_connection::serveRequest() {
  in_flight_entry Entry(State.InFlight,
                        {.Peer = Peer, .Since = currentInstant()});
  const auto Request = readHead();
  if (!Request.has_value()) {
    refuseHead(Request.error());
    return false;
  }
  const auto Framing = requestFraming(Request.value());
  if (!Framing.has_value()) {
    refuseHead(Framing.error());
    return false;
  }
  Entry.describe(Request.value());
  return serveExchange(Request.value(), Framing.value());
}

base::result<HTTPRequest> front_connection::readHead() {
  const base::instant Deadline = currentInstant() + State.Options.HeadTimeout;
  while (true) {
    const auto Length = headLength(Caller.unread());
    if (Length.value_or(Caller.unread().size()) > MaxHeadBytes)
      return base::fail(base::error_kind::RequestTooLarge, "head too large");
    if (Length) {
      auto Request = parseRequest(Caller.unread().substr(0, *Length));
      Caller.consume(*Length);
      return Request;
    }
    if (Caller.fill(Deadline) != io_status::Done)
      return base::fail(base::error_kind::BadRequest, "incomplete head");
  }
}

bool front_connection::serveExchange(const HTTPRequest &Request,
                                     body_framing Framing) {
  caller_exchange Exchange(Caller, Request, Framing,
                           {.Draining = &State.Draining});
  if (Exchange.request().getURI().starts_with(OwnPathPrefix))
    servePlain(Exchange);
  else
    State.Forward(Exchange);
  if (Exchange.reusable())
    return true;
  if (Exchange.begun())
    Caller.closeGracefully(ClosePatience);
  return false;
}

void front_connection::servePlain(caller_exchange &Exchange) {
  plain_request Request{.Method = Exchange.request().getMethod(), .Peer = Peer};
  if (!readTarget(Exchange.request().getURI(), Request))
    return refusePlain(
        Exchange, {base::error_kind::BadRequest, "malformed request target"});
  Exchange.invite();
  const body_state Read =
      Exchange.readWhole(Request.Body, State.Options.MaxPlainBodyBytes,
                         currentInstant() + State.Options.HeadTimeout);
  if (Read != body_state::End) {
    const auto Kind = Read == body_state::Data
                          ? base::error_kind::RequestTooLarge
                          : base::error_kind::BadRequest;
    return refusePlain(Exchange, {Kind, "body not accepted"});
  }
  const auto Path = State.Handlers.find(Request.Path);
  if (Path == State.Handlers.end() || !Path->second.contains(Request.Method))
    return refusePlain(Exchange, {base::error_kind::NotFound,
                                  "no such resource: " + Request.Path});
  const plain_answer Answer = Path->second.at(Request.Method)(Request);
  HTTPResponse Response = headOf(Answer);
  Exchange.sendWhole(Response, Answer.Body);
}

void front_connection::refuseHead(const base::error &Fault) {
  caller_exchange Exchange(Caller, HTTPRequest(), {}, {});
  const bool HeadTooLarge = Fault.Kind == base::error_kind::RequestTooLarge;
  const refusal Refusal{.Error = Fault, .ProvedNotRun = true};
  if (!HeadTooLarge) {
    sendRefusal(Exchange, Refusal);
  } else {
    constexpr auto HeaderFieldsTooLarge =
        static_cast<HTTPResponse::HTTPStatus>(431);
    HTTPResponse Response(HeaderFieldsTooLarge,
                          "Request Header Fields Too Large");
    Response.setContentType("application/json");
    Response.set("Fulmar-Error", std::string(base::answerOf(Fault.Kind).Name));
    Response.set("Fulmar-Not-Run", "true");
    Exchange.sendWhole(Response, refusalBody(Refusal));
  }
  Caller.closeGracefully(ClosePatience);
}

} // namespace fulmar::proxy
