// Translates JSON-RPC parameters into commands of the replicated state, and
// its replies into JSON-RPC results.

#ifndef FULMAR_PROGRAMS_CONTROL_COMMANDCODEC_H
#define FULMAR_PROGRAMS_CONTROL_COMMANDCODEC_H

#include "fulmar/base/result.h"
#include "fulmar/controlstate/commands.h"
#include "fulmar/controlstate/replies.h"

#include <json/value.h>

#include <string>

namespace fulmar::control {

/// Fails with BadRequest, naming the parameter, when one is missing.
base::result<std::string> textParameter(const Json::Value &Parameters,
                                        const char *Name);
base::result<std::uint64_t> numberParameter(const Json::Value &Parameters,
                                            const char *Name);

/// Builds the command of a method that changes the state. Fails with
/// BadRequest, or UnknownMethod for a method that changes nothing.
base::result<controlstate::command_body>
commandOf(const std::string &Method, const Json::Value &Parameters,
          const controlstate::token_proof &Proof);

/// The section whose owner decides on a call that carries a token.
std::string sectionOf(const std::string &Method, const Json::Value &Parameters);

/// The JSON of a reply, or the error that it carries.
base::result<Json::Value> resultOf(const controlstate::reply &Reply);

} // namespace fulmar::control

#endif // FULMAR_PROGRAMS_CONTROL_COMMANDCODEC_H
