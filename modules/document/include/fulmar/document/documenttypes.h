// Names of sections and the faults that a check reports.

#ifndef FULMAR_DOCUMENT_DOCUMENTTYPES_H
#define FULMAR_DOCUMENT_DOCUMENTTYPES_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::document {

/// The part of a section's name before its first dot.
enum class section_kind : std::uint8_t { Service, DataCentre, Policy, Owner };

/// Prefixes of section names; the rest is the name of the thing described.
inline constexpr std::string_view ServicePrefix = "service.";
inline constexpr std::string_view DataCentrePrefix = "data-centre.";
inline constexpr std::string_view PolicyPrefix = "policy.";
inline constexpr std::string_view OwnerPrefix = "owner.";
/// The section that governs the system itself.
inline constexpr std::string_view ControlPolicySection = "policy.control";

/// A section's name taken apart.
struct section_name {
  section_kind Kind = section_kind::Service;
  std::string Name;

  [[nodiscard]] std::string str() const;
  /// Empty unless \p Text is KIND.NAME with a known kind and a name of 1 to 64
  /// letters, digits, '-' and '_'.
  static std::optional<section_name> parse(std::string_view Text);

  friend auto operator<=>(const section_name &, const section_name &) = default;
};

/// One fault of a section.
struct fault {
  std::string Section;
  /// Empty for a fault of the section as a whole.
  std::string Key;
  std::string Value;
  std::string Expected;

  /// "[service.registry] queue_ms = 'x': expected ...".
  [[nodiscard]] std::string str() const;

  friend auto operator<=>(const fault &, const fault &) = default;
};

using fault_list = std::vector<fault>;

/// One line for each fault.
std::string toText(const fault_list &Faults);

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_DOCUMENTTYPES_H
