// When a second attempt may be started beside a slow first one.

#ifndef FULMAR_ROUTING_HEDGING_H
#define FULMAR_ROUTING_HEDGING_H

#include "fulmar/routing/retrybudget.h"
#include "fulmar/routing/routingpolicy.h"
#include "fulmar/routing/routingtypes.h"
#include "fulmar/routing/servicetimes.h"

#include <optional>

namespace fulmar::routing {

/// Time after which \p Request may be hedged; empty when it must not be. The
/// hedge itself is asked for as a further attempt, in which the running one is
/// recorded as timed out, and takes a token of the budget then.
std::optional<base::duration> hedgeAfter(const request_profile &Request,
                                         const routing_policy &Policy,
                                         const service_times &Times,
                                         const retry_budget &Budget,
                                         base::instant Now);

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_HEDGING_H
