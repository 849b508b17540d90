// Structured log lines on log4cxx, one for each change of state. Counts of
// ordinary events go to metrics instead.

#ifndef FULMAR_TELEMETRY_LOG_H
#define FULMAR_TELEMETRY_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace fulmar::telemetry {

enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

using log_field = std::pair<std::string_view, std::string>;

struct log_options {
  /// Written into every line, e.g. "entry-3".
  std::string Instance;
  /// "debug", "info", "warning" or "error".
  std::string Level = "info";
  /// Standard error when empty, standard output when "stdout".
  std::string File;
};

/// Call once, before the first line.
void startLog(const log_options &Options);

/// Writes one line of key=value pairs: time, level, instance, component,
/// event and \p Fields. Thread-safe. Never pass a secret.
void logChange(log_level Level, std::string_view Component,
               std::string_view Event,
               std::initializer_list<log_field> Fields = {});

} // namespace fulmar::telemetry

#endif // FULMAR_TELEMETRY_LOG_H
