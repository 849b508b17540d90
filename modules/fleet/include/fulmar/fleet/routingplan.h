// The routing plan: which service handles a request, the time limits that
// apply, and what the targets of each service can handle. An operator replaces
// the plan as a whole; the plan with the highest version is in force.

#ifndef FULMAR_FLEET_ROUTINGPLAN_H
#define FULMAR_FLEET_ROUTINGPLAN_H

#include "fulmar/base/result.h"
#include "fulmar/base/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::fleet {

using plan_version = std::uint64_t;

/// Whether a request may be executed more than once.
enum class idempotency : std::uint8_t {
  /// May run any number of times.
  Idempotent,
  /// Executed at most once for each attempt of the caller.
  AtMostOnce,
};

/// A service to which a route sends requests, in proportion to its weight.
struct route_share {
  std::string Service;
  double Weight = 1;

  friend auto operator<=>(const route_share &, const route_share &) = default;
};

struct route {
  std::string Name;
  std::string Host;
  /// Begins and ends with '/'.
  std::string PathPrefix;
  idempotency Idempotency = idempotency::AtMostOnce;
  /// Never empty.
  std::vector<route_share> Shares;
  /// Maximum time until the caller gets a response.
  std::int64_t TimeoutMs = 0;
  /// Response time that the service aims for; later responses are worth less to
  /// the caller.
  std::int64_t ObjectiveMs = 0;
  /// Maximum number of targets to which one attempt of the caller is sent.
  std::uint32_t Attempts = 1;
  /// 0 is the highest priority.
  std::uint32_t Priority = 0;

  friend auto operator<=>(const route &, const route &) = default;
};

struct service {
  std::string Name;
  std::string HealthPath;
  /// Connections that a target accepts in total.
  std::uint32_t MaxConnections = 0;
  /// How long a target stays cold after it starts.
  std::int64_t WarmUpMs = 0;
  /// Requests per second that a cold target can handle.
  double WarmUpRate = 0;

  friend auto operator<=>(const service &, const service &) = default;
};

/// Limits on the size and duration of callers' requests.
struct caller_limits {
  std::uint64_t MaxHeaderBytes = 16'384;
  std::uint64_t MaxBodyBytes = std::uint64_t(64) << 20;
  std::int64_t HeaderTimeoutMs = 3'000;
  std::int64_t IdleTimeoutMs = 15'000;

  friend auto operator<=>(const caller_limits &,
                          const caller_limits &) = default;
};

struct routing_plan {
  plan_version Version = 0;
  caller_limits Limits;
  std::vector<route> Routes;
  std::vector<service> Services;

  friend auto operator<=>(const routing_plan &, const routing_plan &) = default;
};

/// Maximum timeout of a route.
inline constexpr std::int64_t MaxRouteTimeoutMs = 600'000;

/// Fails with InvalidDocument; the message describes the first error found.
base::result<void> checkPlan(const routing_plan &Plan);

std::string encodePlan(const routing_plan &Plan);
base::result<routing_plan> decodePlan(std::string_view Bytes);

std::string encodeRoute(const route &Route);
base::result<route> decodeRoute(std::string_view Bytes);

} // namespace fulmar::fleet

#endif // FULMAR_FLEET_ROUTINGPLAN_H
