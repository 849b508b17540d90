// msgpack encoding of the fleet types; see fulmar/claims/packing.h.

#ifndef FULMAR_FLEET_FLEETPACKING_H
#define FULMAR_FLEET_FLEETPACKING_H

#include "fulmar/claims/packing.h"
#include "fulmar/fleet/account.h"
#include "fulmar/fleet/routingplan.h"
#include "fulmar/fleet/targetreport.h"

namespace fulmar::fleet {

constexpr idempotency lastOf(idempotency /*Kind*/) {
  return idempotency::AtMostOnce;
}
constexpr target_phase lastOf(target_phase /*Kind*/) {
  return target_phase::Left;
}
inline auto fieldsOf(route_share &Item) {
  return std::tie(Item.Service, Item.Weight);
}
inline auto fieldsOf(route &Item) {
  return std::tie(Item.Name, Item.Host, Item.PathPrefix, Item.Idempotency,
                  Item.Shares, Item.TimeoutMs, Item.ObjectiveMs, Item.Attempts,
                  Item.Priority);
}
inline auto fieldsOf(service &Item) {
  return std::tie(Item.Name, Item.HealthPath, Item.MaxConnections,
                  Item.WarmUpMs, Item.WarmUpRate);
}
inline auto fieldsOf(caller_limits &Item) {
  return std::tie(Item.MaxHeaderBytes, Item.MaxBodyBytes, Item.HeaderTimeoutMs,
                  Item.IdleTimeoutMs);
}
inline auto fieldsOf(routing_plan &Item) {
  return std::tie(Item.Version, Item.Limits, Item.Routes, Item.Services);
}
inline auto fieldsOf(account &Item) {
  return std::tie(Item.Name, Item.Keys, Item.Priority, Item.RequestsPerSecond,
                  Item.Burst);
}
inline auto fieldsOf(account_set &Item) {
  return std::tie(Item.Required, Item.Accounts, Item.PublicRoutes);
}
inline auto fieldsOf(target_report &Item) {
  return std::tie(Item.Id, Item.Service, Item.DataCentre, Item.Address,
                  Item.Software, Item.Slots, Item.Phase, Item.StartedAtMs,
                  Item.Sequence, Item.RemainingWarmUpMs);
}

} // namespace fulmar::fleet

#endif // FULMAR_FLEET_FLEETPACKING_H
