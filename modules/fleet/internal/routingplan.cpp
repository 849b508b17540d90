// Validation and encoding of routing plans.

#include "fulmar/fleet/routingplan.h"

#include "fulmar/fleet/fleetpacking.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fulmar::fleet {

namespace {

auto invalid(const std::string &Message) {
  return base::fail(base::error_kind::InvalidDocument, Message);
}

base::result<void> checkShares(const route &Route,
                               const std::set<std::string> &Services) {
  double TotalWeight = 0;
  for (const route_share &Share : Route.Shares) {
    if (!Services.contains(Share.Service))
      return invalid("route " + Route.Name + ": unknown service '" +
                     Share.Service + "'");
    if (!(Share.Weight >= 0))
      return invalid("route " + Route.Name + ": negative weight");
    TotalWeight += Share.Weight;
  }
  if (!(TotalWeight > 0))
    return invalid("route " + Route.Name + ": no service has a weight");
  return base::success();
}

base::result<void> checkRoute(const route &Route) {
  if (Route.Host.empty())
    return invalid("route " + Route.Name + ": empty host");
  const std::string &Prefix = Route.PathPrefix;
  if (Prefix.empty() || Prefix.front() != '/' || Prefix.back() != '/')
    return invalid("route " + Route.Name +
                   ": the path prefix must begin and end with '/'");
  if (Route.TimeoutMs <= 0 || Route.TimeoutMs > MaxRouteTimeoutMs)
    return invalid("route " + Route.Name + ": time-out of " +
                   std::to_string(Route.TimeoutMs) + " ms is outside of 1 to " +
                   std::to_string(MaxRouteTimeoutMs));
  if (Route.Attempts == 0)
    return invalid("route " + Route.Name + ": no attempts");
  return base::success();
}

} // namespace

base::result<void> checkPlan(const routing_plan &Plan) {
  std::set<std::string> Services;
  for (const service &Service : Plan.Services) {
    if (Service.Name.empty())
      return invalid("a service has no name");
    if (!Services.insert(Service.Name).second)
      return invalid("service " + Service.Name + " stands twice");
  }
  std::set<std::pair<std::string, std::string>> HostsAndPrefixes;
  for (const route &Route : Plan.Routes) {
    BOOST_OUTCOME_TRYV(checkRoute(Route));
    BOOST_OUTCOME_TRYV(checkShares(Route, Services));
    if (!HostsAndPrefixes.emplace(Route.Host, Route.PathPrefix).second)
      return invalid("two routes have host " + Route.Host + " and prefix " +
                     Route.PathPrefix);
  }
  return base::success();
}

std::string encodePlan(const routing_plan &Plan) {
  return claims::packValue(Plan);
}

base::result<routing_plan> decodePlan(std::string_view Bytes) {
  return claims::unpackValue<routing_plan>(Bytes);
}

std::string encodeRoute(const route &Route) { return claims::packValue(Route); }

base::result<route> decodeRoute(std::string_view Bytes) {
  return claims::unpackValue<route>(Bytes);
}

} // namespace fulmar::fleet
