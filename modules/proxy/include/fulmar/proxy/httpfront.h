// The listening HTTP server of an entry: a thread per connection, handlers
// for the entry's own paths, everything else goes to the forwarder.

#ifndef FULMAR_PROXY_HTTPFRONT_H
#define FULMAR_PROXY_HTTPFRONT_H

#include "fulmar/base/result.h"
#include "fulmar/base/time.h"
#include "fulmar/proxy/callerexchange.h"
#include "fulmar/proxy/proxytypes.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmar::proxy {

struct http_front_options {
  /// IP:PORT; port 0 takes any free port.
  std::string Listen;
  /// One thread each; further connections wait.
  int MaxConnections = 512;
  base::duration IdleTimeout = std::chrono::seconds(60);
  /// Longest time from the first byte of a head to its last.
  base::duration HeadTimeout = std::chrono::seconds(10);
  /// Bound of the bodies of the entry's own paths.
  std::size_t MaxPlainBodyBytes = std::size_t{1} << 20;
};

/// A request to one of the entry's own paths.
struct plain_request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::string Body;
  std::string Peer;
};

struct plain_answer {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  std::map<std::string, std::string> Headers;
};

/// Paths that begin so are served by handlers and never forwarded.
inline constexpr const char *OwnPathPrefix = "/.fulmar/";

/// Handlers run on the connections' threads; register all before start().
class http_front {
public:
  using plain_handler = std::function<plain_answer(const plain_request &)>;
  using forward_handler = std::function<void(caller_exchange &)>;

  explicit http_front(forward_handler Forward);
  ~http_front();
  http_front(const http_front &) = delete;
  http_front &operator=(const http_front &) = delete;

  void handle(const std::string &Method, const std::string &Path,
              plain_handler Handler);

  /// Fails with Unreachable and the address when the port is taken.
  base::result<void> start(const http_front_options &Wanted);
  [[nodiscard]] std::uint16_t port() const;

  /// From now on each answer closes its connection. Requests are still
  /// served, on new connections, too.
  void beginStop();
  [[nodiscard]] std::size_t inFlight() const;
  /// Waits until nothing is in flight; returns what still is at \p Deadline.
  std::vector<remaining_request> waitIdle(base::instant Deadline);
  /// Stops listening, closes idle connections and waits for requests in
  /// flight.
  void stop();

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_HTTPFRONT_H
