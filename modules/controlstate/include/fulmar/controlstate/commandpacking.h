// msgpack encoding of the types in commands.h; see fulmar/claims/packing.h.

#ifndef FULMAR_CONTROLSTATE_COMMANDPACKING_H
#define FULMAR_CONTROLSTATE_COMMANDPACKING_H

#include "fulmar/claims/claimpacking.h"
#include "fulmar/controlstate/commands.h"
#include "fulmar/fleet/fleetpacking.h"

namespace fulmar::controlstate {

inline auto fieldsOf(token_proof &Item) {
  return std::tie(Item.Administrator, Item.Hash);
}
inline auto fieldsOf(edit_command &Item) {
  return std::tie(Item.Author, Item.Section, Item.Number, Item.Content,
                  Item.Proof);
}
inline auto fieldsOf(data_centre_command &Item) {
  return std::tie(Item.OperationId, Item.Name, Item.Action, Item.Author,
                  Item.Proof);
}
inline auto fieldsOf(member_report &Item) {
  return std::tie(Item.Id, Item.Incarnation, Item.DataCentre, Item.Region,
                  Item.Address, Item.RpcAddress, Item.Stopping);
}
inline auto fieldsOf(member_report_command &Item) {
  return std::tie(Item.Report);
}
inline auto fieldsOf(member_expired_command &Item) {
  return std::tie(Item.Id, Item.Incarnation);
}
inline auto fieldsOf(claim_command &Item) { return std::tie(Item.Request); }
inline auto fieldsOf(settle_claim_command &Item) {
  return std::tie(Item.Request, Item.End, Item.Answer);
}
inline auto fieldsOf(crash_command &Item) {
  return std::tie(Item.Fingerprint, Item.Target, Item.Incarnation);
}
inline auto fieldsOf(request_answered_command &Item) {
  return std::tie(Item.Fingerprint, Item.AgeMs);
}
inline auto fieldsOf(advance_clock_command & /*Item*/) { return std::tie(); }
inline auto fieldsOf(plan_command &Item) {
  return std::tie(Item.Version, Item.Plan, Item.Document);
}
inline auto fieldsOf(target_report_command &Item) {
  return std::tie(Item.Report);
}
inline auto fieldsOf(target_left_command &Item) {
  return std::tie(Item.Id, Item.StartedAtMs);
}
inline auto fieldsOf(target_expired_command &Item) {
  return std::tie(Item.Id, Item.StartedAtMs, Item.Sequence);
}
constexpr data_centre_action lastOf(data_centre_action /*Kind*/) {
  return data_centre_action::Return;
}

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_COMMANDPACKING_H
