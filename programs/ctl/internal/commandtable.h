// The subcommands of fulmarctl.

#ifndef FULMAR_CTL_COMMANDTABLE_H
#define FULMAR_CTL_COMMANDTABLE_H

#include "invocation.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace fulmar::ctl {

struct command_entry {
  std::string_view Name;
  /// Arguments and flags, for the usage text.
  std::string_view Usage;
  std::string_view Help;
  std::size_t MinArguments = 0;
  std::size_t MaxArguments = 0;
  /// The command asks control instances.
  bool NeedsControl = true;
  exit_code (*Run)(invocation &Call) = nullptr;
};

std::span<const command_entry> commandTable();
std::string usageText();

/// Runs the subcommand that \p Call's first argument names.
exit_code runCommand(invocation &Call);

// One group of subcommands a source file.
exit_code runCheck(invocation &Call);
exit_code runKeys(invocation &Call);
exit_code runHashToken(invocation &Call);
exit_code runEdit(invocation &Call);
exit_code runRemove(invocation &Call);
exit_code runShow(invocation &Call);
exit_code runDiff(invocation &Call);
exit_code runHistory(invocation &Call);
exit_code runDataCentre(invocation &Call);
exit_code runStatus(invocation &Call);
exit_code runMembers(invocation &Call);
exit_code runVoters(invocation &Call);
exit_code runExplain(invocation &Call);

} // namespace fulmar::ctl

#endif // FULMAR_CTL_COMMANDTABLE_H
