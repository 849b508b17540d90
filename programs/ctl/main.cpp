// fulmarctl: the operators' command line.

#include "internal/commandtable.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <Poco/Exception.h>

#include <iostream>
#include <optional>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, control, {},
          "control instances, IP:PORT,IP:PORT,...");
ABSL_FLAG(std::string, token_file, "", "file that holds your team's token");
ABSL_FLAG(std::string, author, "", "your name, kept in the history");
ABSL_FLAG(bool, json, false, "print JSON instead of tables");
ABSL_FLAG(std::uint64_t, timeout_ms, 20000,
          "how long to resend and wait, in milliseconds");
ABSL_FLAG(std::optional<std::uint64_t>, number, std::nullopt,
          "number of the edit; default: the one in force plus one");
ABSL_FLAG(std::string, operation, "",
          "id of the data centre operation to send again");
ABSL_FLAG(std::optional<std::uint64_t>, at, std::nullopt,
          "revision to show; default: the last one");
ABSL_FLAG(std::optional<std::uint64_t>, from, std::nullopt,
          "older revision to compare");
ABSL_FLAG(std::optional<std::uint64_t>, to, std::nullopt,
          "newer revision to compare; default: the last one");
ABSL_FLAG(std::uint64_t, limit, 50, "edits to list at most");

namespace {

using namespace fulmar;

void configureUsage() {
  absl::SetProgramUsageMessage(ctl::usageText());
  absl::FlagsUsageConfig Config;
  Config.contains_help_flags = [](absl::string_view File) {
    return absl::EndsWith(File, "programs/ctl/main.cpp");
  };
  Config.contains_helpshort_flags = Config.contains_help_flags;
  Config.version_string = [] { return std::string("fulmarctl 0.1.0\n"); };
  absl::SetFlagsUsageConfig(Config);
}

/// Abseil ends the process with code 1 on a wrong flag, which means "refused"
/// here; such flags are found first. Empty when all are sound.
std::optional<std::string> wrongFlag(const std::vector<std::string> &Words) {
  for (const std::string &Word : Words) {
    if (Word == "--")
      return std::nullopt;
    if (!Word.starts_with("--"))
      continue;
    const std::pair<std::string, std::string> Parts =
        absl::StrSplit(Word.substr(2), absl::MaxSplits('=', 1));
    absl::CommandLineFlag *Flag = absl::FindCommandLineFlag(Parts.first);
    if (Flag == nullptr && Parts.first.starts_with("no"))
      Flag = absl::FindCommandLineFlag(Parts.first.substr(2));
    const bool Builtin =
        Parts.first.starts_with("help") || Parts.first == "version";
    if (Flag == nullptr && Builtin)
      continue;
    if (Flag == nullptr)
      return "no flag " + Word;
    std::string Fault;
    if (absl::StrContains(Word, "=") && !Flag->ParseFrom(Parts.second, &Fault))
      return Word + ": " + Fault;
  }
  return std::nullopt;
}

ctl::command_options optionsOfFlags() {
  return {.Author = absl::GetFlag(FLAGS_author),
          .TokenFile = absl::GetFlag(FLAGS_token_file),
          .Json = absl::GetFlag(FLAGS_json),
          .Timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms)),
          .Number = absl::GetFlag(FLAGS_number),
          .Operation = absl::GetFlag(FLAGS_operation),
          .At = absl::GetFlag(FLAGS_at),
          .From = absl::GetFlag(FLAGS_from),
          .To = absl::GetFlag(FLAGS_to),
          .Limit = absl::GetFlag(FLAGS_limit)};
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  configureUsage();
  const std::vector<std::string> Words(Arguments + 1,
                                       Arguments + ArgumentCount);
  if (const auto Fault = wrongFlag(Words)) {
    std::cerr << "usage: " << *Fault << "; see fulmarctl --help\n";
    return static_cast<int>(ctl::exit_code::Usage);
  }
  const std::vector<char *> Rest =
      absl::ParseCommandLine(ArgumentCount, Arguments);
  const ctl::command_options Options = optionsOfFlags();
  ctl::control_client Control(
      {.Addresses = absl::GetFlag(FLAGS_control), .Timeout = Options.Timeout});
  ctl::invocation Call{.Options = Options,
                       .Arguments = {Rest.begin() + 1, Rest.end()},
                       .Control = Control,
                       .Out = std::cout,
                       .Err = std::cerr};
  try {
    return static_cast<int>(ctl::runCommand(Call));
  } catch (const std::exception &Fault) {
    std::cerr << "no answer: an answer could not be read: " << Fault.what()
              << "\nthe outcome is unknown; resend the same command with the "
                 "printed --number or --operation\n";
    return static_cast<int>(ctl::exit_code::NoAnswer);
  }
}
