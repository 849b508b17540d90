// A kept TCP connection between two processes of the system that carries
// frames: a length of four bytes, most significant first, then the payload.

#ifndef FULMAR_EVENTLOOP_FRAMELINK_H
#define FULMAR_EVENTLOOP_FRAMELINK_H

#include "fulmar/eventloop/loop.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fulmar::eventloop {

/// Largest payload; above the largest snapshot part and document.
inline constexpr std::size_t MaxFrameBytes = std::size_t(32) << 20;
/// Bytes that may wait for a peer that does not read.
inline constexpr std::size_t MaxQueuedBytes = std::size_t(24) << 20;

class frame_link : public std::enable_shared_from_this<frame_link> {
public:
  using frame_handler = std::function<void(std::string_view)>;
  using close_handler = std::function<void()>;

  frame_link(loop &OwningLoop, tcp::socket Connected);

  /// Begins to read. Neither handler is called after close().
  void start(frame_handler Frame, close_handler Closed);
  /// Closes the connection when the peer has fallen too far behind.
  void send(std::string Payload);
  void close();
  [[nodiscard]] bool open() const { return Socket.is_open(); }
  /// When the last byte arrived.
  [[nodiscard]] base::instant heardAt() const { return HeardAt; }

private:
  void read();
  void takeFrames();
  void write();
  void fail();

  loop &Loop;
  tcp::socket Socket;
  frame_handler OnFrame;
  close_handler OnClose;
  base::instant HeardAt;
  std::array<char, 16'384> Chunk{};
  /// Bytes that have arrived and form no whole frame yet.
  std::string Received;
  /// The front one is being written while Writing is set.
  std::deque<std::string> Outgoing;
  std::size_t OutgoingBytes = 0;
  bool Writing = false;
};

/// Accepts links on one address.
class frame_server {
public:
  using accept_handler = std::function<void(std::shared_ptr<frame_link>)>;

  explicit frame_server(loop &OwningLoop)
      : Loop(OwningLoop), AcceptRetry(Loop) {}
  ~frame_server();
  frame_server(const frame_server &) = delete;
  frame_server &operator=(const frame_server &) = delete;

  base::result<void> start(const std::string &Address, accept_handler Accepted);

private:
  void accept();

  loop &Loop;
  timer AcceptRetry;
  std::shared_ptr<tcp::acceptor> Acceptor;
  accept_handler OnAccept;
};

/// Keeps a link to one address: connects again after a failure, and drops a
/// link on which nothing arrives for the silence limit.
class frame_dialer {
public:
  struct options {
    std::string Address;
    /// Must be above the peer's interval between frames.
    base::duration SilenceLimit = std::chrono::milliseconds(1'500);
  };
  struct handlers {
    std::function<void()> Connected;
    frame_link::frame_handler Frame;
    std::function<void()> Lost;
  };

  frame_dialer(loop &OwningLoop, options Chosen, handlers Called);
  ~frame_dialer();
  frame_dialer(const frame_dialer &) = delete;
  frame_dialer &operator=(const frame_dialer &) = delete;

  /// False, and nothing sent, while there is no connection.
  bool send(std::string Payload);
  [[nodiscard]] bool connected() const { return Link != nullptr; }
  [[nodiscard]] const std::string &address() const { return Options.Address; }

private:
  void connect();
  void onConnected(tcp::socket Socket);
  void drop();
  void watch();

  loop &Loop;
  options Options;
  handlers Handlers;
  std::shared_ptr<frame_link> Link;
  std::shared_ptr<tcp::socket> Connecting;
  /// Failures to connect since the last connection.
  unsigned Failures = 0;
  timer Retry;
  timer Watch;
};

} // namespace fulmar::eventloop

#endif // FULMAR_EVENTLOOP_FRAMELINK_H
