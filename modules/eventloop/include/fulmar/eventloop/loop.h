// The event loop of a process: one thread, Boost.Asio, timers that count
// suspended time, and the socket options that every connection gets.

#ifndef FULMAR_EVENTLOOP_LOOP_H
#define FULMAR_EVENTLOOP_LOOP_H

#include "fulmar/base/bootclock.h"
#include "fulmar/base/result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fulmar::eventloop {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// One thread runs all handlers; nothing here is thread-safe.
class loop {
public:
  /// Runs until stop(). An exception of a handler ends it.
  void run() { Context.run(); }
  /// Like run(), but logs exceptions of handlers and goes on: for programs
  /// whose handlers share no state that one of them could leave half changed.
  void runGuarded();
  void stop() { Context.stop(); }

  [[nodiscard]] base::instant now() const { return Clock.now(); }
  asio::io_context &context() { return Context; }

  /// Runs \p Work after the handlers that are ready now.
  void post(std::function<void()> Work);

private:
  base::boot_clock Clock;
  asio::io_context Context{1};
};

/// Calls a function once after a time, or again and again. Destroying or
/// cancelling it drops the call.
class timer {
public:
  explicit timer(loop &Loop) : Timer(Loop.context()) {}
  ~timer() { cancel(); }
  timer(const timer &) = delete;
  timer &operator=(const timer &) = delete;

  void after(base::duration Wait, std::function<void()> Call);
  void every(base::duration Period, std::function<void()> Call);
  void cancel();

private:
  asio::steady_timer Timer;
  /// Replaced by each new wait, so that a late handler of an earlier one
  /// does nothing.
  std::shared_ptr<bool> Armed;
};

/// Calls \p Work; logs an exception and returns false. For what comes from
/// outside, at the border where only its own connection need end.
bool guarded(std::string_view Component, const std::function<void()> &Work);

/// Parses IP:PORT.
base::result<tcp::endpoint> parseEndpoint(const std::string &Address);

/// Pause after a connection could not be accepted: descriptors have run out,
/// and trying again at once would only spin.
inline constexpr base::duration AcceptPause = std::chrono::milliseconds(50);

/// TCP_NODELAY, and a limit after which unacknowledged data or an idle peer
/// that does not answer ends the connection.
void tuneSocket(tcp::socket &Socket);

/// False once the peer has closed the connection or its sending side.
bool isPeerConnected(tcp::socket &Socket);

/// A listening socket on \p Address.
base::result<tcp::acceptor> listenOn(loop &Loop, const std::string &Address);

} // namespace fulmar::eventloop

#endif // FULMAR_EVENTLOOP_LOOP_H
