// The C++14 side of the bridge to libjsonrpccpp's client.

#include "jsonrpcbridge.h"

#include <jsonrpccpp/client.h>

#include <exception>

namespace fulmar {
namespace wire {

namespace {

/// Adapts a function to the library's connector interface. The interface
/// allows only JsonRpcException to leave, hence the saved exception.
class function_connector final : public jsonrpc::IClientConnector {
public:
  explicit function_connector(const send_function &Function) : Send(Function) {}

  void SendRPCMessage( // NOLINT(readability-identifier-naming)
      const std::string &Message,
      std::string &Result) throw(jsonrpc::JsonRpcException) override {
    try {
      Result = Send(Message);
    } catch (...) {
      SendFault = std::current_exception();
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
    }
  }

  void rethrowSendFault() const {
    if (SendFault)
      std::rethrow_exception(SendFault);
  }

private:
  const send_function &Send;
  std::exception_ptr SendFault;
};

} // namespace

rpc_answer performCall(const send_function &Send, const std::string &Method,
                       const Json::Value &Parameters) {
  function_connector Connector(Send);
  jsonrpc::Client Client(Connector);
  rpc_answer Answer;
  try {
    Client.CallMethod(Method, Parameters, Answer.Value);
    Answer.Succeeded = true;
  } catch (const jsonrpc::JsonRpcException &Fault) {
    Connector.rethrowSendFault();
    Answer.ErrorCode = Fault.GetCode();
    Answer.ErrorMessage = Fault.GetMessage();
  }
  return Answer;
}

} // namespace wire
} // namespace fulmar
