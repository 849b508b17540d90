// Decides when a second attempt may be sent while a slow first one is still in
// flight.

#ifndef FULMAR_ROUTING_HEDGING_H
#define FULMAR_ROUTING_HEDGING_H

#include "fulmar/routing/retrybudget.h"
#include "fulmar/routing/routingpolicy.h"
#include "fulmar/routing/routingtypes.h"
#include "fulmar/routing/servicetimes.h"

#include <optional>

namespace fulmar::routing {

/// Delay after which \p Request may be hedged; empty if it must not be hedged.
/// The hedge itself is acquired like a retry, with the attempt in flight
/// recorded as timed out, and only then takes a token from the retry budget.
std::optional<base::duration> hedgeAfter(const request_profile &Request,
                                         const routing_policy &Policy,
                                         const service_times &Times,
                                         const retry_budget &Budget,
                                         base::instant Now);

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_HEDGING_H
