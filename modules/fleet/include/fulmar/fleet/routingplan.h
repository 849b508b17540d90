// The routing plan: which service runs a request, within which times, and what
// each service's targets bear. An operator replaces it as a whole; the highest
// version is in force.

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

/// What may be done with a request more than once.
enum class idempotency : std::uint8_t {
  /// May run any number of times.
  Idempotent,
  /// Runs at most once for each attempt of the caller.
  AtMostOnce,
};

/// One destination of a route with its share of the requests.
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
  /// Longest time that a caller is kept waiting.
  std::int64_t TimeoutMs = 0;
  /// Time within which an answer is worth most.
  std::int64_t ObjectiveMs = 0;
  /// Targets to which one attempt of the caller may be sent.
  std::uint32_t Attempts = 1;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;

  friend auto operator<=>(const route &, const route &) = default;
};

struct service {
  std::string Name;
  std::string HealthPath;
  /// Connections that a target accepts from all callers together.
  std::uint32_t MaxConnections = 0;
  /// How long a target is cold after its start.
  std::int64_t WarmUpMs = 0;
  /// Requests a second that a cold target bears.
  double WarmUpRate = 0;

  friend auto operator<=>(const service &, const service &) = default;
};

/// What callers may send and how long they may take.
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

/// Longest time-out that a route may have.
inline constexpr std::int64_t MaxRouteTimeoutMs = 600'000;

/// Fails with InvalidDocument, naming the first fault.
base::result<void> checkPlan(const routing_plan &Plan);

std::string encodePlan(const routing_plan &Plan);
base::result<routing_plan> decodePlan(std::string_view Bytes);

std::string encodeRoute(const route &Route);
base::result<route> decodeRoute(std::string_view Bytes);

} // namespace fulmar::fleet

#endif // FULMAR_FLEET_ROUTINGPLAN_H
