// The messages that a control instance's task receives.

#ifndef FULMAR_PROGRAMS_CONTROL_RPCMESSAGES_H
#define FULMAR_PROGRAMS_CONTROL_RPCMESSAGES_H

#include "fulmar/base/mailbox.h"
#include "fulmar/base/result.h"
#include "fulmar/controlstate/commands.h"

#include <json/value.h>

#include <memory>
#include <string>
#include <variant>

namespace fulmar::control {

using rpc_result = base::result<Json::Value>;
/// Where the RPC server's thread waits for the task's answer.
using responder = std::shared_ptr<base::reply_slot<rpc_result>>;

/// A call of another process.
struct rpc_call {
  std::string Method;
  Json::Value Parameters;
  responder Responder;
  /// What the RPC server's thread found out about the call's token.
  controlstate::token_proof Proof;
};

/// Asks which hash a call's token has to match.
struct ask_required_hash {
  std::string Method;
  Json::Value Parameters;
  std::shared_ptr<base::reply_slot<std::string>> Responder;
};

/// The process was asked to stop: hand over leadership.
struct begin_stop {};

using task_message = std::variant<rpc_call, ask_required_hash, begin_stop>;

} // namespace fulmar::control

#endif // FULMAR_PROGRAMS_CONTROL_RPCMESSAGES_H
