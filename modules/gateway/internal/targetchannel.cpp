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
/// Headers of an answer; well above what targets send.
constexpr std::uint32_t MaxAnswerHeaderBytes = 64U << 10U;

} // namespace

target_channel::target_channel(eventloop::loop &OwningLoop,
                               std::string TargetKey, tcp::endpoint At,
                               const dialect &Names)
    : Loop(OwningLoop), Key(std::move(TargetKey)), Endpoint(std::move(At)),
      Dialect(Names), Socket(Loop.context()), ConnectTimer(Loop),
      IdleLimit(DefaultIdleLimit) {}

void target_channel::call(target_call Next, handler Called) {
  Call = std::move(Next);
  Done = std::move(Called);
  resetParser();
  if (Connected)
    write();
  else
    connect();
}

void target_channel::resetParser() {
  Parser.emplace();
  Parser->eager(true);
  Parser->header_limit(MaxAnswerHeaderBytes);
  Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  Parser->skip(Call.HeadOnly);
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

void target_channel::read() {
  Socket.async_read_some(
      asio::buffer(Chunk),
      [Self = shared_from_this()](error_code Failed, std::size_t Count) {
        if (!Self->Socket.is_open())
          return;
        if (Failed)
          return Self->onEnd(Failed);
        Self->take({Self->Chunk.data(), Count});
        if (Self->Socket.is_open())
          Self->read();
      });
}

void target_channel::take(std::string_view Bytes) {
  if (!Done)
    return close();
  Pending.append(Bytes);
  while (Done && parse()) {
  }
}

bool target_channel::parse() {
  if (Pending.empty() && !Parser->is_done())
    return false;
  error_code Failed;
  const std::size_t Taken = Parser->put(asio::buffer(Pending), Failed);
  Pending.erase(0, Taken);
  if (Failed && Failed != http::error::need_more) {
    Tainted = true;
    finish(base::fail(base::error_kind::TruncatedAnswer, Failed.message()));
    return false;
  }
  if (!Parser->is_done())
    return Taken > 0;
  onAnswer();
  return Done && !Pending.empty();
}

bool target_channel::belongsElsewhere() const {
  const auto Id = headerOf(Parser->get(), Dialect.RequestId);
  return !Id.empty() && Id != Call.RequestId;
}

void target_channel::onAnswer() {
  constexpr unsigned FirstFinalStatus = 200;
  const auto &Message = Parser->get();
  if (Message.result_int() < FirstFinalStatus)
    return resetParser();
  if (belongsElsewhere()) {
    Tainted = true;
    return resetParser();
  }
  if (!Pending.empty() || !Parser->keep_alive())
    Tainted = true;
  noteKeepAlive(Message);
  auto Whole = Parser->release();
  target_answer Answer{.Status = Whole.result_int(),
                       .Reason = std::string(Whole.reason()),
                       .Fields = std::move(Whole.base()),
                       .Body = std::move(Whole.body())};
  finish(std::move(Answer));
}

void target_channel::noteKeepAlive(const http::fields &Fields) {
  constexpr std::string_view Parameter = "timeout=";
  const auto Value = headerOf(Fields, "Keep-Alive");
  const auto At = Value.find(Parameter);
  if (At == std::string_view::npos)
    return;
  auto Digits = Value.substr(At + Parameter.size());
  Digits = Digits.substr(0, Digits.find_first_not_of("0123456789"));
  if (const auto Seconds = parseWhole(Digits))
    IdleLimit = std::min<base::duration>(
        DefaultIdleLimit, std::chrono::seconds(*Seconds) - IdleMargin);
}

void target_channel::onEnd(error_code Failed) {
  Tainted = true;
  if (!Done)
    return close();
  if (Failed == asio::error::eof && Parser->got_some()) {
    error_code Cut;
    Parser->put_eof(Cut);
    if (!Cut && Parser->is_done())
      return onAnswer();
  }
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
  IdleSince = Loop.now();
  const handler Called = std::exchange(Done, {});
  if (Called)
    Called(std::move(Result));
}

void target_channel::close() {
  Done = {};
  ConnectTimer.cancel();
  Tainted = true;
  error_code Ignored;
  Socket.close(Ignored);
}

} // namespace fulmar::gateway
