// Describes the keys that a section may hold.

#ifndef FULMAR_DOCUMENT_KEYSPEC_H
#define FULMAR_DOCUMENT_KEYSPEC_H

#include "fulmar/document/documenttypes.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::document {

enum class key_type : std::uint8_t {
  /// One line of at most Maximum characters.
  Text,
  /// One word of letters, digits, '-' and '_'.
  Name,
  /// At most Maximum names, separated by commas.
  NameList,
  /// Whole number within [Minimum, Maximum].
  Integer,
  /// Whole number of milliseconds within [Minimum, Maximum].
  Milliseconds,
  /// true or false.
  Boolean,
  /// One of Choices.
  Choice,
  /// A salted hash as fulmar::document::hashToken() writes it.
  TokenHash,
};

struct key_spec {
  std::string Key;
  key_type Type = key_type::Text;
  bool Required = false;
  std::int64_t Minimum = 0;
  std::int64_t Maximum = std::numeric_limits<std::int64_t>::max();
  std::vector<std::string> Choices;
  /// The value names sections of this kind, which must exist.
  std::optional<section_kind> References;
  /// Text of the value that an absent key has; empty when Required.
  std::string Default;
  std::string Help;
};

using key_schema = std::vector<key_spec>;

/// The keys of a section. `policy.control` has keys of its own; any other
/// policy holds the keys that several services share.
const key_schema &schemaOf(const section_name &Section);

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_KEYSPEC_H
