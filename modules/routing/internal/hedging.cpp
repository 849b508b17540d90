// Conditions under which a request may be hedged.

#include "fulmar/routing/hedging.h"

#include <algorithm>

namespace fulmar::routing {

namespace {

constexpr base::duration MinHedgeDelay = std::chrono::milliseconds(1);

} // namespace

std::optional<base::duration> hedgeAfter(const request_profile &Request,
                                         const routing_policy &Policy,
                                         const service_times &Times,
                                         const retry_budget &Budget,
                                         base::instant Now) {
  if (!Policy.HedgeEnabled || !Request.Idempotent || !Request.Replayable)
    return std::nullopt;
  if (Request.MarkedAsRetry || !Budget.available())
    return std::nullopt;
  const auto Quantile = Times.quantile(Policy.HedgeQuantile);
  if (!Quantile)
    return std::nullopt;
  const base::duration Delay = std::max(MinHedgeDelay, *Quantile);
  if (Now + Delay >= Request.Deadline)
    return std::nullopt;
  return Delay;
}

} // namespace fulmar::routing
