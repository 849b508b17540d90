// What a subcommand is run with.

#ifndef FULMAR_CTL_INVOCATION_H
#define FULMAR_CTL_INVOCATION_H

#include "controlclient.h"
#include "exitcode.h"

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace fulmar::ctl {

/// The values of the flags.
struct command_options {
  std::string Author;
  std::string TokenFile;
  bool Json = false;
  base::duration Timeout = std::chrono::seconds(20);
  /// Number of the edit; empty: the one in force plus one.
  std::optional<std::uint64_t> Number;
  /// Id of a data centre operation that is sent again; empty: a new one.
  std::string Operation;
  std::optional<std::uint64_t> At;
  std::optional<std::uint64_t> From;
  std::optional<std::uint64_t> To;
  std::uint64_t Limit = 50;
};

struct invocation {
  const command_options &Options;
  /// Without the subcommand's name.
  std::vector<std::string> Arguments;
  control_client &Control;
  std::ostream &Out;
  std::ostream &Err;
};

/// Prints a refusal with what to do next.
exit_code refuse(invocation &Call, const std::string &Why,
                 const std::string &Next);
/// Prints a failed call; \p Resend is the command that is safe to repeat.
exit_code fail(invocation &Call, const base::error &Error,
               const std::string &Resend);
exit_code misuse(invocation &Call, const std::string &Why);
void printJson(invocation &Call, const Json::Value &Value);

/// Reads a whole file; fails with NotFound.
base::result<std::string> readFile(const std::string &File);
/// The token without surrounding white space.
base::result<std::string> readToken(const command_options &Options);

} // namespace fulmar::ctl

#endif // FULMAR_CTL_INVOCATION_H
