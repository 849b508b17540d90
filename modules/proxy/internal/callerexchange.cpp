// Reading a caller's request and writing its answer.

#include "fulmar/proxy/callerexchange.h"

#include "fulmar/proxy/messagehead.h"
#include "text.h"

#include <utility>

namespace fulmar::proxy {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

caller_exchange::caller_exchange(connection &Connected, const HTTPRequest &Head,
                                 body_framing Framing,
                                 caller_exchange_options Settings)
    : Caller(Connected), Request(Head), Options(Settings),
      Body(Connected, Framing) {}

base::instant caller_exchange::sendDeadline() const {
  return currentInstant() + Options.SendTimeout;
}

io_status caller_exchange::invite() {
  const bool Expected =
      !Body.complete() &&
      equalsIgnoringCase(Request.get("Expect", ""), "100-continue");
  if (!Expected || std::exchange(Invited, true))
    return io_status::Done;
  return Caller.send("HTTP/1.1 100 Continue\r\n\r\n", sendDeadline());
}

body_state caller_exchange::readWhole(std::string &Text, std::uint64_t Limit,
                                      base::instant Deadline) {
  while (true) {
    const body_piece Piece = Body.read(Deadline);
    if (Piece.State != body_state::Data)
      return Piece.State;
    if (Text.size() + Piece.Bytes.size() > Limit)
      return body_state::Data;
    Text.append(Piece.Bytes);
  }
}

bool caller_exchange::mustClose() const {
  return (Options.Draining != nullptr && *Options.Draining) ||
         EndsWithConnection || !keepsAlive(Request) || !Body.complete();
}

bool caller_exchange::reusable() const { return Finished && !Closes; }

io_status caller_exchange::sendHead(HTTPResponse &Response,
                                    std::string_view Text) {
  Response.setVersion(HTTPMessage::HTTP_1_1);
  Closes = mustClose();
  Response.set(HTTPMessage::CONNECTION, Closes ? "close" : "keep-alive");
  Begun = true;
  return Caller.send(textOf(Response).append(Text), sendDeadline());
}

io_status caller_exchange::sendWhole(HTTPResponse &Response,
                                     std::string_view Text) {
  announceFraming(Response,
                  {.Kind = framing_kind::Fixed, .Length = Text.size()});
  const bool Bare = Request.getMethod() == HTTPRequest::HTTP_HEAD;
  const io_status Status = sendHead(Response, Bare ? "" : Text);
  Finished = Status == io_status::Done;
  return Status;
}

io_status caller_exchange::sendBare(HTTPResponse &Response) {
  const io_status Status = sendHead(Response, "");
  Finished = Status == io_status::Done;
  return Status;
}

io_status caller_exchange::begin(HTTPResponse &Response,
                                 std::optional<std::uint64_t> Length) {
  EndsWithConnection = !Length && Request.getVersion() != HTTPMessage::HTTP_1_1;
  body_framing Framing{.Kind = EndsWithConnection ? framing_kind::UntilClose
                                                  : framing_kind::Chunked};
  if (Length)
    Framing = {.Kind = framing_kind::Fixed, .Length = *Length};
  Writer.emplace(Framing);
  announceFraming(Response, Framing);
  return sendHead(Response, "");
}

io_status caller_exchange::sendPiece(std::string_view Piece) {
  return Caller.send(Writer->encode(Piece), sendDeadline());
}

io_status caller_exchange::finish() {
  const io_status Status = Caller.send(Writer->terminator(), sendDeadline());
  Finished = Status == io_status::Done && Writer->filled();
  return Status;
}

void caller_exchange::breakOff() {
  Begun = true;
  Finished = false;
  Caller.breakOff();
}

} // namespace fulmar::proxy
