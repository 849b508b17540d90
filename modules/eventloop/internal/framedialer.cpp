// Keeps one link connected.

#include "fulmar/eventloop/framelink.h"

#include <algorithm>

namespace fulmar::eventloop {

namespace {

/// Pause between two attempts to connect, and the first few such pauses: peers
/// that start together listen within some ten milliseconds.
constexpr auto RetryPause = std::chrono::milliseconds(200);
constexpr auto FirstRetryPause = std::chrono::milliseconds(30);
constexpr unsigned FirstRetries = 5;
/// A connection that takes longer is given up; some 100 round trips between
/// neighbouring data centres. A machine that is down answers nothing, and one
/// that comes up is found by the next attempt only. Doubled by each failure,
/// for peers that are further away.
constexpr base::duration FirstConnectLimit = std::chrono::milliseconds(100);
constexpr base::duration LongestConnectLimit = std::chrono::milliseconds(500);
constexpr unsigned MaxDoublings = 3;
constexpr auto WatchInterval = std::chrono::milliseconds(250);

} // namespace

frame_dialer::frame_dialer(loop &OwningLoop, options Chosen, handlers Called)
    : Loop(OwningLoop), Options(std::move(Chosen)), Handlers(std::move(Called)),
      Retry(Loop), Watch(Loop) {
  connect();
}

frame_dialer::~frame_dialer() {
  if (Link)
    Link->close();
  if (Connecting) {
    error_code Ignored;
    Connecting->close(Ignored);
  }
}

void frame_dialer::connect() {
  const auto Endpoint = parseEndpoint(Options.Address);
  if (!Endpoint)
    return;
  Connecting = std::make_shared<tcp::socket>(Loop.context());
  const base::duration Limit =
      FirstConnectLimit * (1U << std::min(Failures, MaxDoublings));
  Retry.after(std::min(Limit, LongestConnectLimit), [this] { drop(); });
  Connecting->async_connect(
      Endpoint.value(),
      [this, Mine = std::weak_ptr(Connecting)](error_code Failed) {
        const auto Socket = Mine.lock();
        // This dialer may be gone, or may have given the attempt up.
        if (!Socket || Failed == asio::error::operation_aborted)
          return;
        if (Failed)
          return drop();
        onConnected(std::move(*Socket));
      });
}

void frame_dialer::onConnected(tcp::socket Socket) {
  Connecting.reset();
  Failures = 0;
  Retry.cancel();
  Link = std::make_shared<frame_link>(Loop, std::move(Socket));
  Link->start(Handlers.Frame, [this] { drop(); });
  watch();
  if (Handlers.Connected)
    Handlers.Connected();
}

void frame_dialer::watch() {
  Watch.after(WatchInterval, [this] {
    if (Link && Loop.now() - Link->heardAt() > Options.SilenceLimit)
      return drop();
    watch();
  });
}

void frame_dialer::drop() {
  const bool WasConnected = Link != nullptr;
  if (Link)
    Link->close();
  Link.reset();
  if (Connecting) {
    error_code Ignored;
    Connecting->close(Ignored);
  }
  Connecting.reset();
  Watch.cancel();
  const bool Soon = ++Failures <= FirstRetries;
  Retry.after(Soon ? FirstRetryPause : RetryPause, [this] { connect(); });
  if (WasConnected && Handlers.Lost)
    Handlers.Lost();
}

bool frame_dialer::send(std::string Payload) {
  if (!Link)
    return false;
  Link->send(std::move(Payload));
  return true;
}

} // namespace fulmar::eventloop
