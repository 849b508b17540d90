// Command line by Abseil flags, settings by the schema, signals by sigwait.

#include "fulmar/runtime/program.h"

#include "fulmar/runtime/usage.h"
#include "fulmar/telemetry/log.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <iostream>

ABSL_FLAG(std::string, config, "", "settings file (INI); required");
ABSL_FLAG(bool, check_settings, false,
          "check the settings file, report every fault, and exit");

namespace fulmar::runtime {

namespace {

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

void parseFlags(int Argc, char **Argv, const program_description &Program) {
  setUsage(Program.Name, Program.Usage, "program.cpp");
  std::vector<std::string> Words = withUnderscores(Argc, Argv);
  std::vector<char *> Pointers;
  Pointers.reserve(Words.size());
  for (std::string &Word : Words)
    Pointers.push_back(Word.data());
  absl::ParseCommandLine(static_cast<int>(Pointers.size()), Pointers.data());
}

base::result<settings::settings>
loadChecked(const program_description &Program) {
  const std::string File = absl::GetFlag(FLAGS_config);
  if (File.empty())
    return base::fail(base::error_kind::BadRequest,
                      Program.Name + ": --config=FILE is required");
  settings::schema Schema = Program.Schema;
  const settings::schema Common = commonSchema();
  Schema.insert(Schema.end(), Common.begin(), Common.end());
  BOOST_OUTCOME_TRY(Loaded, settings::settings::load(File, Schema));
  std::string Faults;
  if (Program.Check) {
    for (const std::string &Fault : Program.Check(Loaded))
      Faults += (Faults.empty() ? "" : "\n") + File + ": " + Fault;
  }
  if (!Faults.empty())
    return base::fail(base::error_kind::InvalidDocument, Faults);
  return Loaded;
}

} // namespace

settings::schema commonSchema() {
  return {
      {.Section = "log",
       .Key = "level",
       .Type = settings::value_type::Name,
       .Default = "info",
       .Help = "debug, info, warning or error"},
      {.Section = "log",
       .Key = "file",
       .Help = "log file; standard error when empty"},
      {.Section = "trace",
       .Key = "file",
       .Help = "OTLP/JSON file for spans; no spans when empty"},
  };
}

std::vector<std::string> withUnderscores(int Argc, char **Argv) {
  std::vector<std::string> Words(Argv, Argv + Argc);
  for (std::string &Word : Words) {
    if (Word == "--")
      break;
    if (!Word.starts_with("--"))
      continue;
    const auto End = std::find(Word.begin(), Word.end(), '=');
    std::replace(Word.begin() + 2, End, '-', '_');
  }
  return Words;
}

stop_request::stop_request(bool Blocks) {
  const sigset_t Signals = stopSignals();
  if (Blocks)
    pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // A peer that closes its socket must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

bool stop_request::wait(base::duration Wait) {
  const sigset_t Signals = stopSignals();
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Wait);
  const timespec Limit{.tv_sec = static_cast<time_t>(Seconds.count()),
                       .tv_nsec =
                           std::chrono::nanoseconds(Wait - Seconds).count()};
  if (sigtimedwait(&Signals, nullptr, &Limit) > 0)
    Requested = true;
  return Requested;
}

int runProgram(int Argc, char **Argv, const program_description &Description,
               const std::function<int(const settings::settings &,
                                       stop_request &)> &Main) {
  parseFlags(Argc, Argv, Description);
  const auto Settings = loadChecked(Description);
  if (!Settings.has_value()) {
    std::cerr << Settings.error().Message << "\n";
    return ExitUsage;
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::cout << absl::GetFlag(FLAGS_config) << ": settings are valid\n";
    return ExitSuccess;
  }
  stop_request Stop(!Description.HandlesSignals);
  telemetry::startLog({.Instance = Settings.value().text("instance", "id"),
                       .Level = Settings.value().text("log", "level"),
                       .File = Settings.value().text("log", "file")});
  return Main(Settings.value(), Stop);
}

} // namespace fulmar::runtime
