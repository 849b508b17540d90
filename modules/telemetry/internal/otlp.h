// OTLP/JSON encoding of finished spans.

#ifndef FULMAR_TELEMETRY_OTLP_H
#define FULMAR_TELEMETRY_OTLP_H

#include "fulmar/telemetry/trace.h"

#include <span>
#include <string>

namespace fulmar::telemetry {

/// One ExportTraceServiceRequest as JSON on a single line.
std::string otlpRequest(const std::string &ServiceName,
                        std::span<const struct span> Spans);

} // namespace fulmar::telemetry

#endif // FULMAR_TELEMETRY_OTLP_H
