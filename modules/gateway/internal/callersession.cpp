// Reads requests from a caller's connection and writes their responses.

#include "internal/callersession.h"

#include "fulmar/telemetry/log.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <sstream>

namespace fulmar::gateway {

namespace {

/// Bytes of further requests that are read while one is being served.
constexpr std::size_t MaxPendingBytes = std::size_t(64) << 10;
/// The connection of a caller that does not read its response for this long is
/// closed.
constexpr base::duration WriteTimeout = std::chrono::seconds(20);
/// While the gateway is stopping, time for which an idle connection is kept for
/// a request that is already on its way.
constexpr base::duration StoppingIdleTimeout = std::chrono::milliseconds(300);

constexpr const char *LastChunk = "0\r\n\r\n";

/// Encodes \p Bytes as one HTTP chunk. Empty input gives no chunk, because an
/// empty chunk would end the body.
std::string encodeChunk(const std::string &Bytes) {
  if (Bytes.empty())
    return {};
  std::ostringstream Size;
  Size << std::hex << Bytes.size();
  return Size.str() + "\r\n" + Bytes + "\r\n";
}

constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

} // namespace

caller_session::caller_session(gateway_state &Owner, tcp::socket Accepted,
                               session_peer OtherEnd)
    : State(Owner), Socket(std::move(Accepted)), Peer(OtherEnd),
      BufferedBytes(Owner.Buffers), WaitSince(Owner.Loop.now()) {
  eventloop::tuneSocket(Socket);
}

void caller_session::start() {
  resetParser();
  read();
}

fleet::caller_limits caller_session::limits() const {
  const auto &Plan = State.Routes.plan();
  return Plan ? Plan->Limits : fleet::caller_limits();
}

void caller_session::resetParser() {
  Parser.emplace();
  Parser->eager(true);
  RequestBegun = false;
  HeadDone = false;
  ContinueSent = false;
  WaitSince = State.Loop.now();
}

void caller_session::beginRequest() {
  const fleet::caller_limits Limits = limits();
  const std::size_t OwnHeaders =
      Peer == session_peer::Entry ? MaxRelayHeaderBytes : 0;
  Parser->header_limit(
      static_cast<std::uint32_t>(Limits.MaxHeaderBytes + OwnHeaders));
  Parser->body_limit(Limits.MaxBodyBytes);
  TooLateToServe = Reused && State.Stopping && !State.Acceptor->is_open();
  LimitsVersion = State.Routes.plan() ? State.Routes.plan()->Version : 0;
  RequestBegun = true;
}

bool caller_session::wantsRead() const {
  return !Closed && !Reading && Unparsed.size() < MaxPendingBytes;
}

void caller_session::read() {
  if (!wantsRead())
    return;
  Reading = true;
  Socket.async_read_some(
      asio::buffer(ReadBuffer),
      [Self = shared_from_this()](error_code Failed, std::size_t Count) {
        Self->Reading = false;
        if (Self->Closed)
          return;
        if (Failed)
          return Self->close();
        Self->onBytes({Self->ReadBuffer.data(), Count});
        Self->read();
      });
}

void caller_session::onBytes(std::string_view Bytes) {
  Unparsed.append(Bytes);
  if (!Exchange && !Writing)
    parse();
}

void caller_session::parse() {
  while (!Closed && !Exchange && !Writing && !Unparsed.empty()) {
    if (!RequestBegun)
      beginRequest();
    error_code Failed;
    const std::size_t Consumed = Parser->put(asio::buffer(Unparsed), Failed);
    Unparsed.erase(0, Consumed);
    if (Failed && Failed != http::error::need_more)
      return onParseError(Failed);
    if (Parser->is_header_done() && !HeadDone) {
      HeadDone = true;
      WaitSince = HeadDoneAt = State.Loop.now();
    }
    if (Consumed > 0 && HeadDone)
      WaitSince = State.Loop.now();
    BufferedBytes.set(Parser->get().body().size());
    if (BufferedBytes.budgetExhausted() && !Parser->is_done())
      return reject(503, "out-of-memory");
    if (Parser->is_done())
      return onRequest();
    const bool ExpectsContinue =
        HeadDone && !headerOf(Parser->get(), "Expect").empty();
    if (ExpectsContinue && !std::exchange(ContinueSent, true)) {
      // Small enough for the socket's send buffer, so this doesn't block.
      error_code Ignored;
      asio::write(
          Socket,
          asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")),
          Ignored);
    }
    if (Consumed == 0)
      return;
  }
}

void caller_session::onParseError(error_code Failed) {
  if (Failed == http::error::header_limit)
    return rejectTooLarge(431, "header-too-large");
  if (Failed == http::error::body_limit)
    return rejectTooLarge(413, "request-too-large");
  reject(400, "bad-request");
}

void caller_session::onRequest() {
  auto Message = Parser->release();
  KeepAlive = Message.keep_alive();
  constexpr unsigned Http11 = 11;
  SupportsChunked = Message.version() >= Http11;
  HeadOnly = Message.method() == http::verb::head;
  caller_request Request{
      .Method = std::string(Message.method_string()),
      .Target = std::string(Message.target()),
      .Fields = std::move(Message.base()),
      .Body = std::make_shared<const std::string>(std::move(Message.body())),
      .ArrivedAt = HeadDoneAt,
      .TooLateToServe = TooLateToServe};
  if (Peer == session_peer::Entry) {
    Request.Relay =
        parseRelayRequest(headerOf(Request.Fields, RelayRequestHeader));
    if (!Request.Relay)
      return reject(400, "not-relayed");
  }
  Exchange = std::make_shared<exchange>(State, std::move(Request));
  // The exchange may finish within start().
  const auto Current = Exchange;
  Current->start([Self = weak_from_this()](caller_response Response) {
    if (const auto Session = Self.lock())
      Session->respond(std::move(Response));
  });
}

void caller_session::respond(caller_response Response) {
  if (Response.Complete)
    Exchange.reset();
  const bool LengthUnknown =
      !Response.Complete && Response.ContentLength.empty();
  Chunked = LengthUnknown && SupportsChunked;
  if (LengthUnknown && !SupportsChunked)
    KeepAlive = false;
  const bool Keep = KeepAlive && !State.Stopping;
  std::string Head = "HTTP/1.1 " + std::to_string(Response.Status) + " ";
  Head += Response.Reason.empty()
              ? std::string(http::obsolete_reason(
                    static_cast<http::status>(Response.Status)))
              : Response.Reason;
  Head += "\r\n" + Response.Headers;
  const bool Bodiless =
      Response.Status == NoContent || Response.Status == NotModified;
  const bool ForwardsLength = HeadOnly || !Response.Complete;
  if (ForwardsLength && !Response.ContentLength.empty())
    appendHeader(Head, "Content-Length", Response.ContentLength);
  else if (Chunked)
    appendHeader(Head, "Transfer-Encoding", "chunked");
  else if (Response.Complete && !Bodiless)
    appendHeader(Head, "Content-Length", std::to_string(Response.Body.size()));
  if (!Keep)
    appendHeader(Head, "Connection", "close");
  Head += "\r\n";
  if (HeadOnly)
    Response.Body.clear();
  if (Response.Complete)
    return write(std::move(Head), std::move(Response.Body),
                 [Keep](caller_session &Self) { Self.onWritten(Keep); });
  KeepAlive = Keep;
  write(std::move(Head),
        Chunked ? encodeChunk(Response.Body) : std::move(Response.Body),
        [](caller_session &Self) { Self.relayPiece(); });
}

void caller_session::relayPiece() {
  Exchange->readPiece(
      [Self = weak_from_this()](base::result<response_piece> Piece) {
        if (const auto Session = Self.lock())
          Session->onPiece(std::move(Piece));
      });
}

void caller_session::onPiece(base::result<response_piece> Piece) {
  if (Closed)
    return;
  if (!Piece)
    return abort();
  const bool Last = Piece.value().Last;
  std::string Bytes = std::move(Piece.value().Bytes);
  if (Chunked)
    Bytes = encodeChunk(Bytes) + (Last ? LastChunk : "");
  if (!Last)
    return write({}, std::move(Bytes),
                 [](caller_session &Self) { Self.relayPiece(); });
  Exchange.reset();
  write({}, std::move(Bytes),
        [Keep = KeepAlive](caller_session &Self) { Self.onWritten(Keep); });
}

void caller_session::abort() {
  Exchange.reset();
  // Closing with zero linger resets the connection, so that even a response
  // without a length can't be taken for complete.
  error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  close();
}

void caller_session::rejectTooLarge(unsigned Status, std::string_view Error) {
  telemetry::logChange(telemetry::log_level::Info, "gateway",
                       "request-rejected",
                       {{"error", std::string(Error)},
                        {"limits_of_plan", std::to_string(LimitsVersion)}});
  reject(Status, Error);
}

void caller_session::reject(unsigned Status, std::string_view Error) {
  KeepAlive = false;
  HeadOnly = false;
  Unparsed.clear();
  State.Metrics
      .counterOf("fulmar_requests_malformed_total",
                 "error=\"" + std::string(Error) + "\"")
      .add();
  respond({.Status = Status,
           .Headers = "Content-Type: application/json\r\n",
           .Body = "{\"error\":\"" + std::string(Error) + "\"}"});
}

void caller_session::write(std::string Head, std::string Body,
                           std::function<void(caller_session &)> Written) {
  Writing = true;
  BufferedBytes.set(Body.size());
  WaitSince = State.Loop.now();
  struct parts {
    std::string Head;
    std::string Body;
  };
  const auto Parts =
      std::make_shared<parts>(parts{std::move(Head), std::move(Body)});
  const std::array<asio::const_buffer, 2> Buffers = {asio::buffer(Parts->Head),
                                                     asio::buffer(Parts->Body)};
  asio::async_write(
      Socket, Buffers,
      [Self = shared_from_this(), Parts,
       Written = std::move(Written)](error_code Failed, std::size_t /*Count*/) {
        if (Self->Closed)
          return;
        if (Failed)
          return Self->close();
        Self->Writing = false;
        Self->BufferedBytes.set(0);
        Written(*Self);
      });
}

void caller_session::onWritten(bool Keep) {
  if (!Keep) {
    error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    return close();
  }
  Reused = true;
  resetParser();
  parse();
  read();
}

void caller_session::checkTimeouts() {
  if (Closed || (Exchange && !Writing))
    return;
  const base::duration Waited = State.Loop.now() - WaitSince;
  const fleet::caller_limits Limits = limits();
  if (Writing) {
    if (Waited > WriteTimeout)
      close();
    return;
  }
  if (idle()) {
    const base::duration Limit =
        State.Stopping
            ? StoppingIdleTimeout
            : base::duration(std::chrono::milliseconds(Limits.IdleTimeoutMs));
    if (Waited > Limit)
      close();
    return;
  }
  const std::int64_t LimitMs =
      HeadDone ? Limits.IdleTimeoutMs : Limits.HeaderTimeoutMs;
  if (Waited > std::chrono::milliseconds(LimitMs))
    reject(408, "request-timeout");
}

void caller_session::expire() {
  if (const auto Running = Exchange)
    Running->expire();
}

void caller_session::close() {
  if (std::exchange(Closed, true))
    return;
  BufferedBytes.set(0);
  if (const auto Running = std::exchange(Exchange, {}))
    Running->cancel();
  error_code Ignored;
  Socket.close(Ignored);
  State.Sessions.erase(shared_from_this());
}

} // namespace fulmar::gateway
