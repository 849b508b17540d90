// Log lines of the programs, read back: key=value pairs with quoted values.

#ifndef FULMAR_CTL_LOGLINES_H
#define FULMAR_CTL_LOGLINES_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar::ctl {

struct log_line {
  /// Milliseconds since 1970, by the writing instance's clock.
  std::int64_t TimeMs = 0;
  std::map<std::string, std::string> Fields;

  /// The value of \p Key, empty where the line has none.
  [[nodiscard]] const std::string &field(const std::string &Key) const;

  friend bool operator==(const log_line &, const log_line &) = default;
};

/// Reads one line; what stands before its time, such as the name of a machine,
/// is skipped. Empty when the line is none of ours or was cut off.
std::optional<log_line> parseLogLine(std::string_view Text);

} // namespace fulmar::ctl

#endif // FULMAR_CTL_LOGLINES_H
