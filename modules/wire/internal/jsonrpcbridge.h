// Calls libjsonrpccpp's client from C++20 code. The library's client headers
// use exception specifications that C++17 removed, so that they are only
// included by jsonrpcbridge.cpp, which is built as C++14; this header has to
// stay valid in both.

#ifndef FULMAR_WIRE_INTERNAL_JSONRPCBRIDGE_H
#define FULMAR_WIRE_INTERNAL_JSONRPCBRIDGE_H

#include <json/value.h>

#include <functional>
#include <string>

namespace fulmar {
namespace wire {

/// Sends one message and returns the answer; throws std::exception on failure.
using send_function = std::function<std::string(const std::string &Message)>;

struct rpc_answer {
  /// False when the peer answered with an error.
  bool Succeeded = false;
  Json::Value Value;
  int ErrorCode = 0;
  std::string ErrorMessage;
};

/// Performs one call. Exceptions of \p Send pass through.
rpc_answer performCall(const send_function &Send, const std::string &Method,
                       const Json::Value &Parameters);

} // namespace wire
} // namespace fulmar

#endif // FULMAR_WIRE_INTERNAL_JSONRPCBRIDGE_H
