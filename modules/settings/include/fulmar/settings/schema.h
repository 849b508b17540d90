// Describes the keys of an INI settings file: the checks at start, the
// defaults and the reference page all come from the same table.

#ifndef FULMAR_SETTINGS_SCHEMA_H
#define FULMAR_SETTINGS_SCHEMA_H

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace fulmar::settings {

enum class value_type : std::uint8_t {
  Text,
  /// One word of letters, digits, '-', '_' and '.'.
  Name,
  /// IP:PORT, e.g. 127.0.0.1:7001.
  Address,
  /// Comma-separated IP:PORT items.
  AddressList,
  /// Whole number within [Minimum, Maximum].
  Integer,
  /// Decimal number within [Minimum, Maximum].
  Number,
  /// Whole number of milliseconds within [Minimum, Maximum].
  Milliseconds,
  /// A folder's path.
  Folder,
};

/// Key pattern that admits any key name in its section.
inline constexpr const char *AnyKey = "*";

/// One key of a settings file.
struct key_spec {
  std::string Section;
  std::string Key;
  value_type Type = value_type::Text;
  /// Used when the key is absent or has no value; ignored when Required is
  /// set.
  std::string Default;
  bool Required = false;
  std::int64_t Minimum = 0;
  std::int64_t Maximum = std::numeric_limits<std::int64_t>::max();
  std::string Help;
};

using schema = std::vector<key_spec>;

} // namespace fulmar::settings

#endif // FULMAR_SETTINGS_SCHEMA_H
