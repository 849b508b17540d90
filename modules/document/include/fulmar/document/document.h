// The operators' document: sections by name, each a text of INI keys, and the
// checks that an edit has to pass.

#ifndef FULMAR_DOCUMENT_DOCUMENT_H
#define FULMAR_DOCUMENT_DOCUMENT_H

#include "fulmar/base/result.h"
#include "fulmar/document/documenttypes.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::document {

inline constexpr std::size_t MaxSectionBytes = std::size_t{64} << 10;
inline constexpr std::size_t MaxServices = 2000;
inline constexpr std::size_t MaxDataCentres = 32;
inline constexpr std::size_t MaxPolicies = 500;
inline constexpr std::size_t MaxOwners = 2000;

/// Holds texts as they were given, byte for byte.
class document {
public:
  /// Reads a whole document. Fails with InvalidDocument, listing every fault.
  static base::result<document> parse(std::string_view Text);
  /// Every fault of a whole document; empty when it is sound.
  static fault_list check(std::string_view Text);

  /// Every fault that replacing \p Section by \p Content would bring in. An
  /// empty content removes the section.
  [[nodiscard]] fault_list checkEdit(const std::string &Section,
                                     const std::string &Content) const;
  /// Replaces or removes a section. The edit must have been checked.
  void put(const std::string &Section, const std::string &Content);

  /// Null when the section is absent.
  [[nodiscard]] const std::string *find(const std::string &Section) const;
  [[nodiscard]] std::vector<std::string> sectionNames() const;
  /// The team that owns a section, read from its content; empty when absent.
  [[nodiscard]] std::string ownerOf(const std::string &Section) const;
  /// The team that a section's text names; empty when it names none.
  [[nodiscard]] static std::string ownerIn(const std::string &Content);
  /// The whole document as INI text, sections in name order.
  [[nodiscard]] std::string text() const;
  /// Adds one section to the text of a document.
  static void appendSection(std::string &Text, const std::string &Section,
                            const std::string &Content);

private:
  struct section {
    std::string Content;
    /// Names of the sections that Content refers to.
    std::set<std::string> References;
  };

  [[nodiscard]] fault_list checkRemoval(const std::string &Section) const;
  [[nodiscard]] std::size_t countOf(section_kind Kind) const;

  std::map<std::string, section> Sections;
};

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_DOCUMENT_H
