// Backpressure that a target's response signals.

#ifndef FULMAR_GATEWAY_INTERNAL_TARGETBACKPRESSURE_H
#define FULMAR_GATEWAY_INTERNAL_TARGETBACKPRESSURE_H

#include "fulmar/placement/targetbackpressure.h"
#include "internal/httptypes.h"

#include <string_view>

namespace fulmar::gateway {

/// \p LeavingHeader: name of the header by which a target says that it is
/// leaving. A malformed Retry-After is logged and ignored.
placement::target_backpressure
parseBackpressure(const http::fields &Fields, unsigned Status,
                  std::string_view LeavingHeader);

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_TARGETBACKPRESSURE_H
