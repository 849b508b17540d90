// Calls over one connection.

#include "internal/targetchannel.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <limits>

namespace fulmar::gateway {

namespace {

/// Idle connections are closed by us before the target does, where it does not
/// say when: targets close after ten seconds or more.
constexpr base::duration DefaultIdleLimit = std::chrono::seconds(8);
/// Time between our close and the target's.
constexpr base::duration IdleMargin = std::chrono::seconds(1);
/// A target that does not accept a connection is taken for unreachable: many
/// round trips, and time to send elsewhere.
constexpr base::duration ConnectLimit = std::chrono::milliseconds(250);
/// Headers of an answer; well above what targets send. Bytes that the parser
/// can't take yet (a chunk's head, a trailer) are held up to here too.
constexpr std::uint32_t MaxAnswerHeaderBytes = 64U << 10U;
/// Interim answers and answers to earlier calls that are passed over in a call:
/// a target sends one or two of them.
constexpr unsigned MaxSkippedAnswers = 8;

base::error truncated(std::string Why) {
  return {base::error_kind::TruncatedAnswer, std::move(Why)};
}

} // namespace

target_channel::target_channel(eventloop::loop &OwningLoop,
                               std::string TargetKey, tcp::endpoint At,
                               const dialect &Names,
                               const std::shared_ptr<held_bytes> &Memory,
                               const observer &Watching)
    : Loop(OwningLoop), Key(std::move(TargetKey)), Endpoint(std::move(At)),
      Dialect(Names), Watcher(Watching), Socket(Loop.context()),
      ConnectTimer(Loop), CallTimer(Loop), Held(Memory),
      IdleLimit(DefaultIdleLimit) {}

void target_channel::call(target_call Next, handler Called) {
  Call = std::move(Next);
  Done = std::move(Called);
  Skipped = 0;
  resetParser();
  if (Call.Limit.count() > 0)
    CallTimer.after(Call.Limit, [Self = shared_from_this()] {
      if (Self->Done)
        Self->finish(base::fail(base::error_kind::OutcomeUnknown,
                                "no answer within the limit"));
    });
  if (Connected)
    write();
  else
    connect();
}

void target_channel::resetParser() {
  Parser.emplace();
  Parser->eager(true);
  Parser->header_limit(MaxAnswerHeaderBytes);
  // What is held is bounded in parse().
  Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  Parser->skip(Call.HeadOnly);
  Held.set(0);
}

void target_channel::connect() {
  ConnectTimer.after(ConnectLimit, [Self = shared_from_this()] {
    if (Self->Done && !Self->Connected)
      Self->finish(
          base::fail(base::error_kind::Unreachable, "connecting timed out"));
  });
  Socket.async_connect(
      Endpoint, [Self = shared_from_this()](error_code Failed) {
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

void target_channel::write() {
  Writing = true;
  const auto Head = std::make_shared<std::string>(std::move(Call.Head));
  const shared_body Body = Call.Body;
  std::array<asio::const_buffer, 2> Buffers = {
      asio::buffer(*Head), Body ? asio::buffer(*Body) : asio::const_buffer()};
  asio::async_write(Socket, Buffers,
                    [Self = shared_from_this(), Head,
                     Body](error_code Failed, std::size_t /*Count*/) {
                      Self->Writing = false;
                      // The reader tells what became of the call.
                      if (Failed)
                        Self->Tainted = true;
                    });
}

bool target_channel::wantsRead() const {
  return Socket.is_open() && !Reading && (!Streaming || OnPiece);
}

void target_channel::read() {
  if (!wantsRead())
    return;
  Reading = true;
  Socket.async_read_some(
      asio::buffer(Chunk),
      [Self = shared_from_this()](error_code Failed, std::size_t Count) {
        Self->Reading = false;
        if (!Self->Socket.is_open())
          return;
        if (Failed)
          return Self->onEnd(Failed);
        Self->take({Self->Chunk.data(), Count});
        Self->read();
      });
}

void target_channel::take(std::string_view Bytes) {
  if (!Done && !Streaming)
    return close();
  Pending.append(Bytes);
  while ((Done || Streaming) && parse()) {
  }
  if (Streaming)
    givePiece();
}

bool target_channel::parse() {
  if (Pending.empty() && !Parser->is_done())
    return false;
  error_code Failed;
  const std::size_t Taken = Parser->put(asio::buffer(Pending), Failed);
  Pending.erase(0, Taken);
  const bool Malformed = Failed && Failed != http::error::need_more;
  if (Malformed || Pending.size() > MaxAnswerHeaderBytes) {
    Tainted = true;
    const base::error Error =
        truncated(Malformed ? Failed.message() : "bytes that are no answer");
    if (Streaming)
      endStream(Error);
    else
      finish(Error);
    return false;
  }
  if (Streaming)
    return !Parser->is_done() && Taken > 0;
  if (!Parser->is_done()) {
    const std::size_t Size = Parser->get().body().size();
    Held.set(Size);
    if (Size > MaxHeldAnswerBytes || (Size > 0 && Held.allFull())) {
      onLongAnswer();
      return false;
    }
    return Taken > 0;
  }
  onAnswer();
  return Done && !Pending.empty();
}

bool target_channel::isInterim() const {
  constexpr unsigned FirstFinalStatus = 200;
  return Parser->get().result_int() < FirstFinalStatus;
}

bool target_channel::belongsElsewhere() const {
  const auto Id = headerOf(Parser->get(), Dialect.RequestId);
  return !Id.empty() && Id != Call.RequestId;
}

bool target_channel::isUnproven() const {
  return UsedBefore && !Call.RequestId.empty() &&
         headerOf(Parser->get(), Dialect.RequestId).empty();
}

void target_channel::skipAnswer() {
  if (!isInterim())
    Tainted = true;
  if (++Skipped <= MaxSkippedAnswers)
    return resetParser();
  Tainted = true;
  finish(truncated("too many answers that are not the call's"));
}

void target_channel::onAnswer() {
  const auto &Message = Parser->get();
  if (isInterim())
    return skipAnswer();
  Watcher(Key, Message.result_int(), Message);
  if (belongsElsewhere())
    return skipAnswer();
  if (!Pending.empty() || !Parser->keep_alive())
    Tainted = true;
  if (isUnproven()) {
    Tainted = true;
    return finish(truncated("an answer without an id on a used connection"));
  }
  noteKeepAlive(Message);
  finish(takeAnswer());
}

void target_channel::onLongAnswer() {
  Watcher(Key, Parser->get().result_int(), Parser->get());
  Tainted = true;
  if (isInterim() || belongsElsewhere() || isUnproven())
    return finish(truncated("a long answer that is not the call's"));
  Streaming = true;
  target_answer Begun = takeAnswer();
  Begun.Whole = false;
  const handler Called = std::exchange(Done, {});
  CallTimer.cancel();
  Called(std::move(Begun));
}

target_answer target_channel::takeAnswer() {
  auto &Message = Parser->get();
  target_answer Answer{.Status = Message.result_int(),
                       .Reason = std::string(Message.reason()),
                       .Fields = std::move(Message.base()),
                       .Body = std::move(Message.body())};
  Message.body().clear();
  Held.set(0);
  return Answer;
}

void target_channel::readPiece(piece_handler Called) {
  OnPiece = std::move(Called);
  Loop.post([Self = shared_from_this()] {
    if (!Self->OnPiece)
      return;
    while (Self->Streaming && Self->parse()) {
    }
    Self->givePiece();
    Self->read();
  });
}

/// Hands over what has arrived of a long answer, once it is asked for.
void target_channel::givePiece() {
  if (!OnPiece || !Streaming)
    return;
  const bool Last = Parser->is_done();
  answer_piece Piece{.Bytes = std::move(Parser->get().body()), .Last = Last};
  Parser->get().body().clear();
  if (Last)
    return endStream(std::move(Piece));
  if (Piece.Bytes.empty())
    return;
  const piece_handler Called = std::exchange(OnPiece, {});
  Called(std::move(Piece));
}

void target_channel::endStream(base::result<answer_piece> Piece) {
  const piece_handler Called = std::exchange(OnPiece, {});
  // The connection is not used again: the answer's end was not awaited here.
  close();
  if (Called)
    Called(std::move(Piece));
}

void target_channel::noteKeepAlive(const http::fields &Fields) {
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

void target_channel::onEnd(error_code Failed) {
  Tainted = true;
  if (!Done && !Streaming)
    return close();
  if (Failed == asio::error::eof && Parser->got_some()) {
    error_code Cut;
    Parser->put_eof(Cut);
    if (!Cut && Parser->is_done())
      return Streaming ? givePiece() : onAnswer();
  }
  if (Streaming)
    return endStream(truncated(Failed.message()));
  const bool Begun = Parser->got_some();
  finish(base::fail(Begun ? base::error_kind::TruncatedAnswer
                          : base::error_kind::OutcomeUnknown,
                    Failed.message()));
}

void target_channel::finish(base::result<target_answer> Result) {
  if (!Result || Tainted) {
    error_code Ignored;
    Socket.close(Ignored);
  }
  CallTimer.cancel();
  Held.set(0);
  UsedBefore = true;
  IdleSince = Loop.now();
  const handler Called = std::exchange(Done, {});
  if (Called)
    Called(std::move(Result));
}

void target_channel::close() {
  Done = {};
  OnPiece = {};
  Streaming = false;
  ConnectTimer.cancel();
  CallTimer.cancel();
  Tainted = true;
  Held.set(0);
  error_code Ignored;
  Socket.close(Ignored);
}

} // namespace fulmar::gateway
