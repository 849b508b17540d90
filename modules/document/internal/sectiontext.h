// Reads the text of one section into its keys.

#ifndef FULMAR_DOCUMENT_SECTIONTEXT_H
#define FULMAR_DOCUMENT_SECTIONTEXT_H

#include "fulmar/document/documenttypes.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmar::document {

using value_map = std::map<std::string, std::string>;

/// Reads KEY = VALUE lines. Lines that are not of that form, section headers
/// and repeated keys are added to \p Faults.
value_map readSection(const std::string &Section, std::string_view Text,
                      fault_list &Faults);

/// A whole document cut at its section headers, in order.
struct section_text {
  std::string Section;
  std::string Content;
};
std::vector<section_text> splitDocument(std::string_view Text,
                                        fault_list &Faults);

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_SECTIONTEXT_H
