// Usage texts by Abseil flags.

#include "fulmar/runtime/usage.h"

#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

namespace fulmar::runtime {

namespace {

constexpr const char *Version = "0.1.0";

} // namespace

void setUsage(const std::string &Name, const std::string &Text,
              const std::string &OwnFile) {
  absl::SetProgramUsageMessage(Text);
  absl::FlagsUsageConfig Usage;
  const auto IsOwn = [OwnFile](absl::string_view File) {
    return absl::EndsWith(File, OwnFile);
  };
  Usage.contains_helpshort_flags = IsOwn;
  Usage.contains_help_flags = IsOwn;
  Usage.version_string = [Name] { return Name + " " + Version + "\n"; };
  // The path that the program was built in is of no interest.
  Usage.normalize_filename = [](absl::string_view File) {
    const auto Slash = File.rfind('/');
    return std::string(
        Slash == absl::string_view::npos ? File : File.substr(Slash + 1));
  };
  absl::SetFlagsUsageConfig(Usage);
}

} // namespace fulmar::runtime
