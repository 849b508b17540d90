// How the requests of one service are routed; read from the document's section
// of the service.

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
  /// A name of strategyNames().
  std::string Strategy = "adaptive";
  /// Most requests that wait for a target.
  std::uint32_t QueueLength = 256;
  /// Longest wait for a target.
  base::duration QueueTime = std::chrono::milliseconds(500);
  /// Longest time of one attempt.
  base::duration Timeout = std::chrono::seconds(30);
  /// Retries and hedges for each hundred first attempts.
  std::uint32_t RetryBudgetPercent = 10;
  /// Attempts of one request, the first included.
  std::uint32_t MaxAttempts = 4;
  bool HedgeEnabled = true;
  /// Service-time quantile after which an idempotent request is hedged.
  double HedgeQuantile = 0.95;
  /// Largest share of the service's targets that is ejected at a time.
  double MaxEjectedShare = 0.3;
  base::data_centre_name OwnDataCentre;
  /// Other data centres, the nearest first; unlisted ones come last.
  std::vector<base::data_centre_name> Nearness;
  /// Utilisation of the nearer data centres from which the next is used too.
  double SpillOverUtilisation = 0.8;

  friend auto operator<=>(const routing_policy &,
                          const routing_policy &) = default;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_ROUTINGPOLICY_H
