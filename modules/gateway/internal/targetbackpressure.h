// Backpressure that a target's response signals.

#ifndef FULMAR_GATEWAY_INTERNAL_TARGETBACKPRESSURE_H
#define FULMAR_GATEWAY_INTERNAL_TARGETBACKPRESSURE_H

#include "fulmar/gateway/headernames.h"
#include "fulmar/placement/targetbackpressure.h"
#include "internal/httptypes.h"

namespace fulmar::gateway {

/// A malformed Retry-After or rate limit is logged and ignored.
placement::target_backpressure parseBackpressure(const http::fields &Fields,
                                                 unsigned Status,
                                                 const header_names &Names);

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_TARGETBACKPRESSURE_H
