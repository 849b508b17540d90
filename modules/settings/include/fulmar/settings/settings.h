// Checked settings of a process, read once from an INI file at start.

#ifndef FULMAR_SETTINGS_SETTINGS_H
#define FULMAR_SETTINGS_SETTINGS_H

#include "fulmar/base/result.h"
#include "fulmar/settings/schema.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fulmar::settings {

/// Immutable values that passed every check of their schema.
class settings {
public:
  /// Reads \p File and checks it against \p Schema. The error lists every
  /// fault, one a line: file, section, key, value and what was expected.
  static base::result<settings> load(const std::string &File,
                                     const schema &Schema);

  /// Accessors for keys of the schema. A key that the schema does not have is
  /// a programming error and yields an empty value.
  [[nodiscard]] std::string text(const std::string &Section,
                                 const std::string &Key) const;
  [[nodiscard]] std::int64_t integer(const std::string &Section,
                                     const std::string &Key) const;
  [[nodiscard]] double number(const std::string &Section,
                              const std::string &Key) const;
  [[nodiscard]] std::chrono::milliseconds
  milliseconds(const std::string &Section, const std::string &Key) const;
  [[nodiscard]] std::vector<std::string> list(const std::string &Section,
                                              const std::string &Key) const;
  /// All keys of a section that has AnyKey, in name order.
  [[nodiscard]] std::map<std::string, std::string>
  section(const std::string &Section) const;

private:
  using full_key = std::pair<std::string, std::string>;
  std::map<full_key, std::string> Values;
};

} // namespace fulmar::settings

#endif // FULMAR_SETTINGS_SETTINGS_H
