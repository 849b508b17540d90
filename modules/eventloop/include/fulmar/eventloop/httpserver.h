// A small HTTP/1.1 server for the system's own interfaces: whole requests in,
// whole answers out, any number of kept connections.

#ifndef FULMAR_EVENTLOOP_HTTPSERVER_H
#define FULMAR_EVENTLOOP_HTTPSERVER_H

#include "fulmar/eventloop/loop.h"

#include <compare>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace fulmar::eventloop {

struct http_request {
  std::string Method;
  /// Path and query as sent.
  std::string Target;
  std::string Body;
  /// Time from the accept of the connection, or from the answer before, until
  /// the request was read.
  base::duration Awaited{};

  friend auto operator<=>(const http_request &, const http_request &) = default;
};

struct http_answer {
  unsigned Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  /// Value of Retry-After; none when empty.
  std::string RetryAfter;
  /// Value of Location; none when empty.
  std::string Location;

  friend auto operator<=>(const http_answer &, const http_answer &) = default;
};

/// Answers one request. Call it once, at once or later.
class http_responder {
public:
  using answer_function = std::function<void(http_answer)>;
  using connected_function = std::function<bool()>;

  http_responder(answer_function Answering, connected_function Checking)
      : Answer(std::move(Answering)), Connected(std::move(Checking)) {}

  void operator()(http_answer Given) const { Answer(std::move(Given)); }
  /// False once the caller has closed its connection or its sending side. True
  /// does not prove that it still waits: its close may be delayed or lost.
  [[nodiscard]] bool callerConnected() const { return Connected(); }

private:
  answer_function Answer;
  connected_function Connected;
};
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_options {
  std::string Address;
  std::size_t MaxHeaderBytes = std::size_t(16) << 10;
  std::size_t MaxBodyBytes = std::size_t(8) << 20;
  /// Bytes of long bodies that all connections together may be sent at a time.
  /// Operators send one document at a time, eight at the most.
  std::size_t MaxBufferedBytes = std::size_t(64) << 20;
  /// A connection that sends no request for this long is closed.
  base::duration IdleLimit = std::chrono::seconds(30);
};

/// Bytes that the bodies of all connections of a server take.
struct body_budget {
  std::size_t Reserved = 0;
};

class http_server {
public:
  http_server(loop &OwningLoop, http_server_options Chosen,
              http_handler Called);
  base::result<void> start();
  /// Takes no further connections.
  void stop();

private:
  void accept();

  loop &Loop;
  http_server_options Options;
  /// Shared with the connections, which may outlive the server.
  std::shared_ptr<const http_handler> Handler;
  /// Shared with the connections as well.
  std::shared_ptr<body_budget> Bodies = std::make_shared<body_budget>();
  std::unique_ptr<tcp::acceptor> Acceptor;
  timer AcceptRetry;
};

} // namespace fulmar::eventloop

#endif // FULMAR_EVENTLOOP_HTTPSERVER_H
