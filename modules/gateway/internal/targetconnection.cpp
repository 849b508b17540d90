// Sends requests over a connection and reads their responses.

#include "internal/targetconnection.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <limits>

namespace fulmar::gateway {

namespace {

/// Idle time after which the gateway closes a connection, so that it does so
/// before the target. Applies where the target does not announce its own limit:
/// targets close after ten seconds or more.
constexpr base::duration DefaultIdleLimit = std::chrono::seconds(8);
/// Time between the gateway's close and the target's.
constexpr base::duration IdleMargin = std::chrono::seconds(1);
/// A target that does not accept a connection within this time counts as
/// unreachable. Allows for many round trips and leaves time to try another
/// target.
constexpr base::duration ConnectLimit = std::chrono::milliseconds(250);
/// Maximum header size of a response, well above what targets send. Also limits
/// the bytes that the parser can't consume yet (a chunk header, a trailer).
constexpr std::uint32_t MaxResponseHeaderBytes = 64U << 10U;
/// Maximum number of interim responses and responses to earlier requests that
/// are skipped during a call; a target sends one or two of them.
constexpr unsigned MaxSkippedResponses = 8;

base::error truncatedError(std::string Reason) {
  return {base::error_kind::TruncatedAnswer, std::move(Reason)};
}

} // namespace

target_connection::target_connection(
    eventloop::loop &OwningLoop, std::string TargetKey, target_address Ends,
    const header_names &Names, const std::shared_ptr<buffer_budget> &Budget,
    const response_observer &ResponseObserver)
    : Loop(OwningLoop), Key(std::move(TargetKey)), Address(std::move(Ends)),
      HeaderNames(Names), Observer(ResponseObserver), Socket(Loop.context()),
      ConnectTimer(Loop), CallTimer(Loop), BufferedBytes(Budget),
      IdleLimit(DefaultIdleLimit) {}

void target_connection::call(target_call NextCall, handler Callback) {
  Call = std::move(NextCall);
  Done = std::move(Callback);
  SkippedResponses = 0;
  resetParser();
  if (Call.Timeout.count() > 0)
    CallTimer.after(Call.Timeout, [Self = shared_from_this()] {
      if (Self->Done)
        Self->finish(base::fail(base::error_kind::OutcomeUnknown,
                                "no response within the time limit"));
    });
  if (Connected)
    write();
  else
    connect();
}

void target_connection::resetParser() {
  Parser.emplace();
  Parser->eager(true);
  Parser->header_limit(MaxResponseHeaderBytes);
  // The body's size is limited in parse().
  Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  Parser->skip(Call.HeadOnly);
  BufferedBytes.set(0);
}

void target_connection::connect() {
  ConnectTimer.after(ConnectLimit, [Self = shared_from_this()] {
    if (Self->Done && !Self->Connected)
      Self->finish(base::fail(base::error_kind::Unreachable,
                              "connection attempt timed out"));
  });
  if (const error_code Failed = bindSource())
    return Loop.post([Self = shared_from_this(), Failed] {
      if (Self->Done)
        Self->finish(
            base::fail(base::error_kind::Unreachable, Failed.message()));
    });
  Socket.async_connect(
      Address.Remote, [Self = shared_from_this()](error_code Failed) {
        Self->ConnectTimer.cancel();
        if (!Self->Done)
          return;
        Self->Refused = Failed == asio::error::connection_refused;
        if (Failed)
          return Self->finish(
              base::fail(base::error_kind::Unreachable, Failed.message()));
        Self->Connected = true;
        eventloop::tuneSocket(Self->Socket);
        Self->read();
        Self->write();
      });
}

error_code target_connection::bindSource() {
  error_code Failed;
  if (Address.Source.empty())
    return Failed;
  const auto Ip = asio::ip::make_address_v4(Address.Source, Failed);
  if (!Failed)
    Socket.open(tcp::v4(), Failed);
  if (!Failed)
    Socket.bind({Ip, 0}, Failed);
  return Failed;
}

void target_connection::write() {
  Writing = true;
  const auto Head = std::make_shared<std::string>(std::move(Call.Head));
  const shared_body Body = Call.Body;
  std::array<asio::const_buffer, 2> Buffers = {
      asio::buffer(*Head), Body ? asio::buffer(*Body) : asio::const_buffer()};
  asio::async_write(Socket, Buffers,
                    [Self = shared_from_this(), Head,
                     Body](error_code Failed, std::size_t /*Count*/) {
                      Self->Writing = false;
                      // The pending read reports how the call ended.
                      if (Failed)
                        Self->Unusable = Self->WriteFailed = true;
                      if (std::exchange(Self->EndedDuringWrite, false))
                        Self->onEnd();
                    });
}

bool target_connection::wantsRead() const {
  return Socket.is_open() && !Reading && (!Streaming || OnPiece);
}

void target_connection::read() {
  if (!wantsRead())
    return;
  Reading = true;
  Socket.async_read_some(
      asio::buffer(ReadBuffer),
      [Self = shared_from_this()](error_code Failed, std::size_t Count) {
        Self->Reading = false;
        if (!Self->Socket.is_open())
          return;
        if (Failed)
          return Self->onReadError(Failed);
        Self->onBytes({Self->ReadBuffer.data(), Count});
        Self->read();
      });
}

void target_connection::onBytes(std::string_view Bytes) {
  if (!Done && !Streaming)
    return close();
  Unparsed.append(Bytes);
  while ((Done || Streaming) && parse()) {
  }
  if (Streaming)
    deliverPiece();
}

bool target_connection::parse() {
  if (Unparsed.empty() && !Parser->is_done())
    return false;
  error_code Failed;
  const std::size_t Consumed = Parser->put(asio::buffer(Unparsed), Failed);
  Unparsed.erase(0, Consumed);
  const bool Malformed = Failed && Failed != http::error::need_more;
  if (Malformed || Unparsed.size() > MaxResponseHeaderBytes) {
    Unusable = true;
    const base::error Error =
        truncatedError(Malformed ? Failed.message()
                                 : "received bytes that are no HTTP response");
    if (Streaming)
      endStream(Error);
    else
      finish(Error);
    return false;
  }
  if (Streaming)
    return !Parser->is_done() && Consumed > 0;
  if (!Parser->is_done()) {
    const std::size_t Size = Parser->get().body().size();
    BufferedBytes.set(Size);
    if (Size > MaxBufferedResponseBytes ||
        (Size > 0 && BufferedBytes.budgetExhausted())) {
      startStreaming();
      return false;
    }
    return Consumed > 0;
  }
  onResponse();
  return Done && !Unparsed.empty();
}

bool target_connection::hasValidStatus() const {
  constexpr unsigned FirstStatus = 100;
  constexpr unsigned LastStatus = 599;
  const unsigned Status = Parser->get().result_int();
  return Status >= FirstStatus && Status <= LastStatus;
}

bool target_connection::isInterim() const {
  constexpr unsigned FirstFinalStatus = 200;
  return Parser->get().result_int() < FirstFinalStatus;
}

bool target_connection::isForOtherRequest() const {
  const auto Id = headerOf(Parser->get(), HeaderNames.RequestId);
  return !Id.empty() && Id != Call.RequestId;
}

bool target_connection::isUnverified() const {
  return UsedBefore && !Call.RequestId.empty() &&
         headerOf(Parser->get(), HeaderNames.RequestId).empty();
}

void target_connection::skipResponse() {
  if (!isInterim())
    Unusable = true;
  if (++SkippedResponses <= MaxSkippedResponses)
    return resetParser();
  Unusable = true;
  finish(
      truncatedError("too many responses that do not belong to the request"));
}

void target_connection::onResponse() {
  const auto &Message = Parser->get();
  if (!hasValidStatus()) {
    Unusable = true;
    return finish(truncatedError("response without a valid status"));
  }
  if (isInterim())
    return skipResponse();
  notifyObserver();
  if (isForOtherRequest())
    return skipResponse();
  if (!Unparsed.empty() || !Parser->keep_alive())
    Unusable = true;
  if (isUnverified()) {
    Unusable = true;
    return finish(
        truncatedError("response without a request id on a reused connection"));
  }
  applyKeepAlive(Message);
  finish(takeResponse());
}

void target_connection::notifyObserver() const {
  Observer({.ConnectionKey = Key,
            .Kind = Call.Kind,
            .AnswersCall = !isForOtherRequest(),
            .Status = Parser->get().result_int(),
            .Fields = Parser->get()});
}

void target_connection::startStreaming() {
  notifyObserver();
  Unusable = true;
  if (!hasValidStatus() || isInterim() || isForOtherRequest() || isUnverified())
    return finish(
        truncatedError("long response that does not belong to the request"));
  Streaming = true;
  target_response FirstPart = takeResponse();
  FirstPart.Complete = false;
  const handler Callback = std::exchange(Done, {});
  CallTimer.cancel();
  Callback(std::move(FirstPart));
}

target_response target_connection::takeResponse() {
  auto &Message = Parser->get();
  target_response Response{.Status = Message.result_int(),
                           .Reason = std::string(Message.reason()),
                           .Fields = std::move(Message.base()),
                           .Body = std::move(Message.body())};
  Message.body().clear();
  BufferedBytes.set(0);
  return Response;
}

void target_connection::readPiece(piece_handler Callback) {
  OnPiece = std::move(Callback);
  Loop.post([Self = shared_from_this()] {
    if (!Self->OnPiece)
      return;
    while (Self->Streaming && Self->parse()) {
    }
    Self->deliverPiece();
    Self->read();
  });
}

/// Passes the received part of a streamed response to the pending readPiece().
void target_connection::deliverPiece() {
  if (!OnPiece || !Streaming)
    return;
  const bool Last = Parser->is_done();
  response_piece Piece{.Bytes = std::move(Parser->get().body()), .Last = Last};
  Parser->get().body().clear();
  if (Last)
    return endStream(std::move(Piece));
  if (Piece.Bytes.empty())
    return;
  const piece_handler Callback = std::exchange(OnPiece, {});
  Callback(std::move(Piece));
}

void target_connection::endStream(base::result<response_piece> Piece) {
  const piece_handler Callback = std::exchange(OnPiece, {});
  // The connection is not reused: nothing waited for the end of the response,
  // so bytes that follow it would go unnoticed.
  close();
  if (Callback)
    Callback(std::move(Piece));
}

void target_connection::applyKeepAlive(const http::fields &Fields) {
  constexpr std::string_view Parameter = "timeout=";
  const auto Value = headerOf(Fields, "Keep-Alive");
  const auto At = Value.find(Parameter);
  if (At == std::string_view::npos)
    return;
  auto Digits = Value.substr(At + Parameter.size());
  Digits = Digits.substr(0, Digits.find_first_not_of("0123456789"));
  constexpr std::uint64_t MaxSeconds = 3'600;
  if (const auto Seconds = parseWhole(Digits))
    IdleLimit = std::min<base::duration>(
        DefaultIdleLimit,
        std::chrono::seconds(std::min(*Seconds, MaxSeconds)) - IdleMargin);
}

void target_connection::onReadError(error_code Failed) {
  Unusable = true;
  if (!Done && !Streaming)
    return close();
  if (Failed == asio::error::eof && Parser->got_some()) {
    error_code Cut;
    Parser->put_eof(Cut);
    if (!Cut && Parser->is_done()) {
      EndedDuringWrite = Writing;
      return Writing ? void() : onEnd();
    }
  }
  onBrokenEnd(Failed);
}

/// A response without a length ends with its connection. After a reset, the
/// first operation to fail takes the error: if that was the write of the
/// request, the read sees an ordinary end although the response may be
/// truncated.
void target_connection::onEnd() {
  if (!Done && !Streaming)
    return close();
  if (WriteFailed)
    return onBrokenEnd(asio::error::connection_reset);
  if (Streaming)
    deliverPiece();
  else
    onResponse();
}

void target_connection::onBrokenEnd(error_code Failed) {
  if (Streaming)
    return endStream(truncatedError(Failed.message()));
  const bool ResponseBegun = Parser->got_some();
  finish(base::fail(ResponseBegun ? base::error_kind::TruncatedAnswer
                                  : base::error_kind::OutcomeUnknown,
                    Failed.message()));
}

void target_connection::finish(base::result<target_response> Result) {
  if (!Result || Unusable) {
    error_code Ignored;
    Socket.close(Ignored);
  }
  CallTimer.cancel();
  BufferedBytes.set(0);
  UsedBefore = true;
  IdleSince = Loop.now();
  const handler Callback = std::exchange(Done, {});
  if (Callback)
    Callback(std::move(Result));
}

void target_connection::close() {
  Done = {};
  OnPiece = {};
  Streaming = false;
  ConnectTimer.cancel();
  CallTimer.cancel();
  Unusable = true;
  BufferedBytes.set(0);
  error_code Ignored;
  Socket.close(Ignored);
}

} // namespace fulmar::gateway
