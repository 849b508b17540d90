// The text of one log line, apart from its time. Pure, so that tests can check
// that no value forges a field or a line.

#ifndef FULMAR_TELEMETRY_LOGLINE_H
#define FULMAR_TELEMETRY_LOGLINE_H

#include "fulmar/telemetry/log.h"

#include <span>
#include <string>
#include <string_view>

namespace fulmar::telemetry {

/// \p Value as it is, or quoted and escaped unless it consists of letters,
/// digits and the characters -_.:/ only.
std::string logValue(std::string_view Value);

std::string logLine(log_level Level, std::string_view Instance,
                    std::string_view Component, std::string_view Event,
                    std::span<const log_field> Fields);

} // namespace fulmar::telemetry

#endif // FULMAR_TELEMETRY_LOGLINE_H
