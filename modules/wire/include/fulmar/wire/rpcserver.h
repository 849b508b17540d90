// Serves JSON-RPC 2.0 over HTTP POST /rpc on POCO, and plain text over HTTP
// GET, for the traffic between the system's own processes.

#ifndef FULMAR_WIRE_RPCSERVER_H
#define FULMAR_WIRE_RPCSERVER_H

#include "fulmar/base/result.h"

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fulmar::wire {

struct rpc_server_options {
  /// IP:PORT; port 0 takes any free port.
  std::string Listen;
  int MaxThreads = 64;
  std::size_t MaxBodyBytes = std::size_t{4} << 20;
};

/// Handlers run on the server's threads; register all before start().
class rpc_server {
public:
  using method_handler =
      std::function<base::result<Json::Value>(const Json::Value &Parameters)>;
  using text_handler = std::function<std::string()>;

  rpc_server();
  ~rpc_server();
  rpc_server(const rpc_server &) = delete;
  rpc_server &operator=(const rpc_server &) = delete;

  void handleMethod(const std::string &Method, method_handler Handler);
  /// Serves GET \p Path, e.g. "/metrics".
  void handleText(const std::string &Path, text_handler Handler);

  /// Fails with Unreachable and the address when the port is taken.
  base::result<void> start(const rpc_server_options &Options);
  /// Finishes the calls under way, then closes.
  void stop();
  [[nodiscard]] std::uint16_t port() const;

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace fulmar::wire

#endif // FULMAR_WIRE_RPCSERVER_H
