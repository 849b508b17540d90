// Set-up that every long-running program shares: command line, settings
// checked before anything else, log, and signals that ask for a stop.

#ifndef FULMAR_RUNTIME_PROGRAM_H
#define FULMAR_RUNTIME_PROGRAM_H

#include "fulmar/base/time.h"
#include "fulmar/settings/settings.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace fulmar::runtime {

/// Exit codes of all programs.
enum exit_code : int {
  ExitSuccess = 0,
  /// A run-time failure; the log says which.
  ExitFailure = 1,
  /// Bad command line or settings.
  ExitUsage = 2,
};

struct program_description {
  std::string Name;
  /// What the program does, for --help.
  std::string Usage;
  settings::schema Schema;
  /// Checks that involve several keys; returns one line for each fault.
  std::function<std::vector<std::string>(const settings::settings &)> Check;
  /// The program handles signals itself; its stop_request sees none.
  bool HandlesSignals = false;
};

/// Keys that every program's settings file has: section [log] and [trace].
settings::schema commonSchema();

/// The time at which a stop was asked for, and how often.
class stop_request {
public:
  /// Blocks SIGTERM and SIGINT for all threads started later, where \p Blocks
  /// says so, and ignores SIGPIPE.
  explicit stop_request(bool Blocks = true);

  /// Waits up to \p Wait for a signal; true once any has arrived. Further
  /// signals are counted and change nothing.
  bool wait(base::duration Wait);

private:
  bool Requested = false;
};

/// Parses the command line (--config, --check-settings, --version, --help),
/// loads the settings, starts the log and runs \p Main. Accepts dashes in flag
/// names. Returns the exit code.
int runProgram(
    int Argc, char **Argv, const program_description &Description,
    const std::function<int(const settings::settings &, stop_request &)> &Main);

/// Replaces dashes in the names of long flags by underscores, as Abseil's
/// flags expect.
std::vector<std::string> withUnderscores(int Argc, char **Argv);

} // namespace fulmar::runtime

#endif // FULMAR_RUNTIME_PROGRAM_H
