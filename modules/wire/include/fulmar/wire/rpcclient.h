// Calls JSON-RPC 2.0 methods of another process over HTTP POST /rpc.

#ifndef FULMAR_WIRE_RPCCLIENT_H
#define FULMAR_WIRE_RPCCLIENT_H

#include "fulmar/base/result.h"
#include "fulmar/base/time.h"

#include <json/value.h>

#include <memory>
#include <string>

namespace fulmar::wire {

/// Owned by one task: not thread-safe. Keeps one connection and never sends a
/// call twice.
class rpc_client {
public:
  /// \p Address is IP:PORT.
  explicit rpc_client(std::string Address);
  ~rpc_client();
  rpc_client(const rpc_client &) = delete;
  rpc_client &operator=(const rpc_client &) = delete;

  /// Fails with Unreachable when no connection was made (the call was not
  /// sent), Timeout when no answer came in time, or the peer's error kind.
  base::result<Json::Value> call(const std::string &Method,
                                 const Json::Value &Parameters,
                                 base::duration Timeout);

  [[nodiscard]] const std::string &address() const;

private:
  class connector;
  std::unique_ptr<connector> Connector;
};

} // namespace fulmar::wire

#endif // FULMAR_WIRE_RPCCLIENT_H
