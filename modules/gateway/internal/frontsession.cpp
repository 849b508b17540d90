// Reading, serving and writing on a caller's connection.

#include "internal/frontsession.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <sstream>

namespace fulmar::gateway {

namespace {

/// Bytes of further requests that are read while one is being served.
constexpr std::size_t MaxPendingBytes = std::size_t(64) << 10;
/// A caller that does not read its answer is given up after this.
constexpr base::duration WriteLimit = std::chrono::seconds(20);
/// Time that a stopping gateway leaves an idle connection for a request that
/// is already on its way.
constexpr base::duration StopIdle = std::chrono::milliseconds(300);

constexpr const char *LastChunk = "0\r\n\r\n";

/// \p Bytes as one chunk; nothing for no bytes, which would end the body.
std::string chunkOf(const std::string &Bytes) {
  if (Bytes.empty())
    return {};
  std::ostringstream Size;
  Size << std::hex << Bytes.size();
  return Size.str() + "\r\n" + Bytes + "\r\n";
}

constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

} // namespace

front_session::front_session(gateway_state &Owner, tcp::socket Accepted)
    : State(Owner), Socket(std::move(Accepted)), Held(Owner.Held),
      WaitSince(Owner.Loop.now()) {
  eventloop::tuneSocket(Socket);
}

void front_session::start() {
  resetParser();
  read();
}

fleet::caller_limits front_session::limits() const {
  const auto &Plan = State.Routes.plan();
  return Plan ? Plan->Limits : fleet::caller_limits();
}

void front_session::resetParser() {
  const fleet::caller_limits Limits = limits();
  Parser.emplace();
  Parser->eager(true);
  Parser->header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
  Parser->body_limit(Limits.MaxBodyBytes);
  Begun = false;
  HeadDone = false;
  ContinueSent = false;
  WaitSince = State.Loop.now();
}

bool front_session::wantsRead() const {
  return !Closed && !Reading && Pending.size() < MaxPendingBytes;
}

void front_session::read() {
  if (!wantsRead())
    return;
  Reading = true;
  Socket.async_read_some(
      asio::buffer(Chunk),
      [Self = shared_from_this()](error_code Failed, std::size_t Count) {
        Self->Reading = false;
        if (Self->Closed)
          return;
        if (Failed)
          return Self->close();
        Self->take({Self->Chunk.data(), Count});
        Self->read();
      });
}

void front_session::take(std::string_view Bytes) {
  Pending.append(Bytes);
  if (!Exchange && !Writing)
    parse();
}

void front_session::parse() {
  while (!Closed && !Exchange && !Writing && !Pending.empty()) {
    Begun = true;
    error_code Failed;
    const std::size_t Taken = Parser->put(asio::buffer(Pending), Failed);
    Pending.erase(0, Taken);
    if (Failed && Failed != http::error::need_more)
      return onParseError(Failed);
    if (Parser->is_header_done() && !HeadDone) {
      HeadDone = true;
      WaitSince = HeadAt = State.Loop.now();
    }
    if (Taken > 0 && HeadDone)
      WaitSince = State.Loop.now();
    Held.set(Parser->get().body().size());
    if (Held.allFull() && !Parser->is_done())
      return refuse(503, "out-of-memory");
    if (Parser->is_done())
      return onRequest();
    const bool Expects = HeadDone && !headerOf(Parser->get(), "Expect").empty();
    if (Expects && !std::exchange(ContinueSent, true)) {
      // Small enough for the socket's buffer.
      error_code Ignored;
      asio::write(
          Socket,
          asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")),
          Ignored);
    }
    if (Taken == 0)
      return;
  }
}

void front_session::onParseError(error_code Failed) {
  if (Failed == http::error::header_limit)
    return refuse(431, "header-too-large");
  if (Failed == http::error::body_limit)
    return refuse(413, "request-too-large");
  refuse(400, "bad-request");
}

void front_session::onRequest() {
  auto Message = Parser->release();
  KeepAlive = Message.keep_alive();
  constexpr unsigned Http11 = 11;
  KnowsChunks = Message.version() >= Http11;
  HeadOnly = Message.method() == http::verb::head;
  front_request Request{
      .Method = std::string(Message.method_string()),
      .Target = std::string(Message.target()),
      .Fields = std::move(Message.base()),
      .Body = std::make_shared<const std::string>(std::move(Message.body())),
      .ArrivedAt = HeadAt};
  Exchange = std::make_shared<exchange>(State, std::move(Request));
  // The exchange may end within start().
  const auto Started = Exchange;
  Started->start([Self = weak_from_this()](front_answer Answer) {
    if (const auto Session = Self.lock())
      Session->answer(std::move(Answer));
  });
}

void front_session::answer(front_answer Answer) {
  if (Answer.Whole)
    Exchange.reset();
  const bool Unbounded = !Answer.Whole && Answer.ContentLength.empty();
  Chunked = Unbounded && KnowsChunks;
  if (Unbounded && !KnowsChunks)
    KeepAlive = false;
  const bool Keep = KeepAlive && !State.Stopping;
  std::string Head = "HTTP/1.1 " + std::to_string(Answer.Status) + " ";
  Head += Answer.Reason.empty() ? std::string(http::obsolete_reason(
                                      static_cast<http::status>(Answer.Status)))
                                : Answer.Reason;
  Head += "\r\n" + Answer.Headers;
  const bool Bodiless =
      Answer.Status == NoContent || Answer.Status == NotModified;
  const bool Announced = HeadOnly || !Answer.Whole;
  if (Announced && !Answer.ContentLength.empty())
    appendHeader(Head, "Content-Length", Answer.ContentLength);
  else if (Chunked)
    appendHeader(Head, "Transfer-Encoding", "chunked");
  else if (Answer.Whole && !Bodiless)
    appendHeader(Head, "Content-Length", std::to_string(Answer.Body.size()));
  if (!Keep)
    appendHeader(Head, "Connection", "close");
  Head += "\r\n";
  if (HeadOnly)
    Answer.Body.clear();
  if (Answer.Whole)
    return write(std::move(Head), std::move(Answer.Body),
                 [Keep](front_session &Self) { Self.onWritten(Keep); });
  KeepAlive = Keep;
  write(std::move(Head),
        Chunked ? chunkOf(Answer.Body) : std::move(Answer.Body),
        [](front_session &Self) { Self.relayPiece(); });
}

void front_session::relayPiece() {
  Exchange->readPiece(
      [Self = weak_from_this()](base::result<answer_piece> Piece) {
        if (const auto Session = Self.lock())
          Session->onPiece(std::move(Piece));
      });
}

void front_session::onPiece(base::result<answer_piece> Piece) {
  if (Closed)
    return;
  if (!Piece)
    return abort();
  const bool Last = Piece.value().Last;
  std::string Bytes = std::move(Piece.value().Bytes);
  if (Chunked)
    Bytes = chunkOf(Bytes) + (Last ? LastChunk : "");
  if (!Last)
    return write({}, std::move(Bytes),
                 [](front_session &Self) { Self.relayPiece(); });
  Exchange.reset();
  write({}, std::move(Bytes),
        [Keep = KeepAlive](front_session &Self) { Self.onWritten(Keep); });
}

void front_session::abort() {
  Exchange.reset();
  // A close that drops what is unsent resets the connection: even an answer
  // without a length then has no end.
  error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  close();
}

void front_session::refuse(unsigned Status, std::string_view Error) {
  KeepAlive = false;
  HeadOnly = false;
  Pending.clear();
  State.Metrics
      .counterOf("fulmar_requests_malformed_total",
                 "error=\"" + std::string(Error) + "\"")
      .add();
  answer({.Status = Status,
          .Headers = "Content-Type: application/json\r\n",
          .Body = "{\"error\":\"" + std::string(Error) + "\"}"});
}

void front_session::write(std::string Head, std::string Body,
                          std::function<void(front_session &)> Written) {
  Writing = true;
  Held.set(Body.size());
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
        Self->Held.set(0);
        Written(*Self);
      });
}

void front_session::onWritten(bool Keep) {
  if (!Keep) {
    error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    return close();
  }
  resetParser();
  parse();
  read();
}

void front_session::sweep() {
  if (Closed || (Exchange && !Writing))
    return;
  const base::duration Waited = State.Loop.now() - WaitSince;
  const fleet::caller_limits Limits = limits();
  if (Writing) {
    if (Waited > WriteLimit)
      close();
    return;
  }
  if (idle()) {
    const base::duration Limit =
        State.Stopping
            ? StopIdle
            : base::duration(std::chrono::milliseconds(Limits.IdleTimeoutMs));
    if (Waited > Limit)
      close();
    return;
  }
  const std::int64_t LimitMs =
      HeadDone ? Limits.IdleTimeoutMs : Limits.HeaderTimeoutMs;
  if (Waited > std::chrono::milliseconds(LimitMs))
    refuse(408, "request-timeout");
}

void front_session::expire() {
  if (const auto Running = Exchange)
    Running->expire();
}

void front_session::close() {
  if (std::exchange(Closed, true))
    return;
  Held.set(0);
  if (const auto Running = std::exchange(Exchange, {}))
    Running->cancel();
  error_code Ignored;
  Socket.close(Ignored);
  State.Sessions.erase(shared_from_this());
}

} // namespace fulmar::gateway
