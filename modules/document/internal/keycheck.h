// Checks values against the schema of their section.

#ifndef FULMAR_DOCUMENT_KEYCHECK_H
#define FULMAR_DOCUMENT_KEYCHECK_H

#include "fulmar/document/keyspec.h"
#include "sectiontext.h"

#include <set>
#include <string>
#include <vector>

namespace fulmar::document {

std::vector<std::string> splitList(const std::string &Value);

/// Adds every unknown, missing and wrong value of a section to \p Faults.
void checkValues(const std::string &Section, const key_schema &Schema,
                 const value_map &Values, fault_list &Faults);

/// Names of the sections that \p Values refer to.
std::set<std::string> referencesOf(const key_schema &Schema,
                                   const value_map &Values);

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_KEYCHECK_H
