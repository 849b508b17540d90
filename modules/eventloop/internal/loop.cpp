// Timers, addresses and socket options.

#include "fulmar/eventloop/loop.h"

#include "fulmar/telemetry/log.h"

#include <boost/asio/post.hpp>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <exception>

namespace fulmar::eventloop {

namespace {

/// Unacknowledged data ends a connection after this; a little below the 3 s in
/// which a machine is expected to notice that a peer is gone.
constexpr int UserTimeoutMs = 2'500;
/// Idle time before the first keep-alive probe, and between probes (seconds).
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
/// Pending connections; above the connections that callers open in a burst.
constexpr int ListenBacklog = 1'024;

void setOption(tcp::socket &Socket, int Level, int Name, int Value) {
  // A refused option leaves the kernel's default, which is safe.
  (void)::setsockopt(Socket.native_handle(), Level, Name, &Value,
                     sizeof(Value));
}

} // namespace

bool guarded(std::string_view Component, const std::function<void()> &Work) {
  try {
    Work();
    return true;
  } catch (const std::exception &Thrown) {
    telemetry::logChange(telemetry::log_level::Error, Component,
                         "unexpected-error", {{"error", Thrown.what()}});
    return false;
  }
}

void loop::runGuarded() {
  while (!guarded("loop", [this] { Context.run(); })) {
  }
}

void loop::post(std::function<void()> Work) {
  asio::post(Context, std::move(Work));
}

void timer::after(base::duration Wait, std::function<void()> Call) {
  cancel();
  Armed = std::make_shared<bool>(true);
  Timer.expires_after(Wait);
  Timer.async_wait([Armed = Armed, Call = std::move(Call)](error_code Failed) {
    if (!Failed && *Armed)
      Call();
  });
}

void timer::every(base::duration Period, std::function<void()> Call) {
  after(Period, [this, Period, Call = std::move(Call)] {
    const auto Mine = Armed;
    Call();
    if (*Mine)
      every(Period, Call);
  });
}

void timer::cancel() {
  if (Armed)
    *Armed = false;
  Timer.cancel();
}

base::result<tcp::endpoint> parseEndpoint(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  std::uint16_t Port = 0;
  if (Colon != std::string::npos) {
    const char *Last = Address.data() + Address.size();
    const auto Read = std::from_chars(Address.data() + Colon + 1, Last, Port);
    error_code Failed;
    const auto Ip = asio::ip::make_address_v4(Address.substr(0, Colon), Failed);
    if (!Failed && Read.ec == std::errc() && Read.ptr == Last && Port != 0)
      return tcp::endpoint(Ip, Port);
  }
  return base::fail(base::error_kind::BadRequest,
                    "'" + Address + "' is no IP:PORT");
}

void tuneSocket(tcp::socket &Socket) {
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

bool isPeerConnected(tcp::socket &Socket) {
  if (!Socket.is_open())
    return false;
  const int Handle = Socket.native_handle();
  char Next = 0;
  const ssize_t Count = ::recv(Handle, &Next, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count < 0)
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  if (Count == 0)
    return false;
  // Unread bytes of a further request hide the end of the stream from recv.
  pollfd Polled{.fd = Handle, .events = POLLRDHUP, .revents = 0};
  return ::poll(&Polled, 1, 0) <= 0;
}

base::result<tcp::acceptor> listenOn(loop &Loop, const std::string &Address) {
  BOOST_OUTCOME_TRY(Endpoint, parseEndpoint(Address));
  tcp::acceptor Acceptor(Loop.context());
  error_code Failed;
  Acceptor.open(tcp::v4(), Failed);
  if (!Failed)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Failed);
  if (!Failed)
    Acceptor.bind(Endpoint, Failed);
  if (!Failed)
    Acceptor.listen(ListenBacklog, Failed);
  if (Failed)
    return base::fail(base::error_kind::Unreachable,
                      "can't listen on " + Address + ": " + Failed.message());
  return Acceptor;
}

} // namespace fulmar::eventloop
