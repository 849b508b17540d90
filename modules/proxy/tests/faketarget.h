// A scripted target on a real socket.

#ifndef FULMAR_PROXY_TESTS_FAKETARGET_H
#define FULMAR_PROXY_TESTS_FAKETARGET_H

#include "fulmar/proxy/bodyreader.h"
#include "fulmar/proxy/connection.h"
#include "fulmar/proxy/messagehead.h"
#include "fulmar/wire/listen.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace fulmar::proxy::tests {

inline constexpr std::chrono::seconds TestPatience(10);

inline base::instant soon() { return currentInstant() + TestPatience; }

struct received_request {
  Poco::Net::HTTPRequest Head;
  std::string Body;
  /// End when the body was complete.
  body_state State = body_state::Waiting;
};

/// Reads one request; empty when the peer closed the connection before it.
inline std::optional<received_request> receiveRequest(connection &From) {
  while (!headLength(From.unread()))
    if (From.fill(soon()) != io_status::Done)
      return std::nullopt;
  const auto Length = *headLength(From.unread());
  auto Head = parseRequest(From.unread().substr(0, Length));
  From.consume(Length);
  if (!Head.has_value())
    return std::nullopt;
  received_request Request{.Head = Head.value()};
  body_reader Body(From, requestFraming(Request.Head).value());
  while (true) {
    const body_piece Piece = Body.read(soon());
    Request.State = Piece.State;
    if (Piece.State != body_state::Data)
      return Request;
    Request.Body.append(Piece.Bytes);
  }
}

inline void sendText(connection &To, const std::string &Text) {
  To.send(Text, soon());
}

/// An answer with a Content-Length and further header lines.
inline std::string fixedAnswer(const std::string &Body,
                               const std::string &Headers = "",
                               const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n" +
         Headers + "\r\n" + Body;
}

/// Runs a script on each accepted connection, each on its own thread.
class fake_target {
public:
  using script = std::function<void(connection &)>;
  /// Returns false to close the connection.
  using handler =
      std::function<bool(connection &, const received_request &Request)>;

  explicit fake_target(script Script)
      : Listening(wire::listenOn("127.0.0.1:0")), Run(std::move(Script)),
        Accepting([this] { acceptAll(); }) {}

  /// A target that serves requests one after the other.
  static script serving(handler Handler) {
    return [Handler = std::move(Handler)](connection &Peer) {
      while (const auto Request = receiveRequest(Peer))
        if (!Handler(Peer, *Request))
          return;
    };
  }

  ~fake_target() {
    Stopping = true;
    Accepting.join();
    for (Poco::Net::StreamSocket &Socket : Sockets)
      ::shutdown(Socket.impl()->sockfd(), SHUT_RDWR);
    for (std::thread &Thread : Threads)
      Thread.join();
  }
  fake_target(const fake_target &) = delete;
  fake_target &operator=(const fake_target &) = delete;

  [[nodiscard]] std::string address() const {
    return Listening.address().toString();
  }
  [[nodiscard]] int connections() const { return Connections; }

private:
  void acceptAll() {
    constexpr int PollMicroseconds = 5000;
    while (!Stopping) {
      if (!Listening.poll(Poco::Timespan(PollMicroseconds),
                          Poco::Net::Socket::SELECT_READ))
        continue;
      ++Connections;
      Sockets.push_back(Listening.acceptConnection());
      Threads.emplace_back([this, Socket = Sockets.back()]() mutable {
        connection Peer(Socket);
        Run(Peer);
        ::shutdown(Socket.impl()->sockfd(), SHUT_RDWR);
      });
    }
  }

  Poco::Net::ServerSocket Listening;
  const script Run;
  std::atomic<bool> Stopping{false};
  std::atomic<int> Connections{0};
  std::list<Poco::Net::StreamSocket> Sockets;
  std::list<std::thread> Threads;
  // Last: starts when all other members are ready.
  std::thread Accepting;
};

} // namespace fulmar::proxy::tests

#endif // FULMAR_PROXY_TESTS_FAKETARGET_H
