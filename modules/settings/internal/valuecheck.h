// Checks one value of a settings file against its type.

#ifndef FULMAR_SETTINGS_INTERNAL_VALUECHECK_H
#define FULMAR_SETTINGS_INTERNAL_VALUECHECK_H

#include "fulmar/settings/schema.h"

#include <optional>
#include <string>
#include <vector>

namespace fulmar::settings {

/// Says what was expected when \p Value does not fit \p Spec.
std::optional<std::string> expectedInstead(const key_spec &Spec,
                                           const std::string &Value);

/// Splits at commas, without surrounding blanks and empty items.
std::vector<std::string> splitList(const std::string &Value);

} // namespace fulmar::settings

#endif // FULMAR_SETTINGS_INTERNAL_VALUECHECK_H
