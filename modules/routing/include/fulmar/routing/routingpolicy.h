// Routing policy of one service, taken from the service's section of the
// configuration document.

#ifndef FULMAR_ROUTING_ROUTINGPOLICY_H
#define FULMAR_ROUTING_ROUTINGPOLICY_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmar::routing {

struct routing_policy {
  /// One of strategyNames().
  std::string Strategy = "adaptive";
  /// Maximum number of requests that wait for a target.
  std::uint32_t QueueLength = 256;
  /// Maximum time that a request waits for a target.
  base::duration QueueTime = std::chrono::milliseconds(500);
  /// Time limit of one attempt.
  base::duration Timeout = std::chrono::seconds(30);
  /// Retries and hedges allowed per hundred first attempts.
  std::uint32_t RetryBudgetPercent = 10;
  /// Maximum number of attempts per request, including the first.
  std::uint32_t MaxAttempts = 4;
  bool HedgeEnabled = true;
  /// Service-time quantile after which an idempotent request is hedged.
  double HedgeQuantile = 0.95;
  /// Maximum share of the service's targets that may be ejected at a time.
  double MaxEjectedShare = 0.3;
  base::data_centre_name OwnDataCentre;
  /// Other data centres, nearest first; those not listed come last.
  std::vector<base::data_centre_name> Nearness;
  /// Utilisation of a data centre from which the next nearest is used as well.
  double SpillOverUtilisation = 0.8;

  friend auto operator<=>(const routing_policy &,
                          const routing_policy &) = default;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_ROUTINGPOLICY_H
