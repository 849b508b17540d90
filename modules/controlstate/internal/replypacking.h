// msgpack encoding of the types in replies.h; see fulmar/claims/packing.h.

#ifndef FULMAR_CONTROLSTATE_REPLYPACKING_H
#define FULMAR_CONTROLSTATE_REPLYPACKING_H

#include "fulmar/claims/claimpacking.h"
#include "fulmar/controlstate/replies.h"

namespace fulmar::base {

inline auto fieldsOf(error &Item) { return std::tie(Item.Kind, Item.Message); }
constexpr error_kind lastOf(error_kind /*Kind*/) {
  return error_kind::Internal;
}

} // namespace fulmar::base

namespace fulmar::controlstate {

inline auto fieldsOf(edit_reply &Item) {
  return std::tie(Item.Outcome, Item.Revision, Item.Serial, Item.Message,
                  Item.CurrentNumber, Item.CurrentContent, Item.CurrentAuthor,
                  Item.Repeated);
}
inline auto fieldsOf(data_centre_reply &Item) {
  return std::tie(Item.Serial, Item.InService, Item.Repeated);
}
inline auto fieldsOf(member_reply &Item) { return std::tie(Item.Epoch); }
inline auto fieldsOf(claim_reply &Item) { return std::tie(Item.Answer); }
inline auto fieldsOf(crash_reply &Item) {
  return std::tie(Item.Crashes, Item.Quarantined);
}
inline auto fieldsOf(error_reply &Item) { return std::tie(Item.Error); }
inline auto fieldsOf(plan_reply &Item) {
  return std::tie(Item.Version, Item.Changed);
}
inline auto fieldsOf(target_reply &Item) { return std::tie(Item.Changed); }
inline auto fieldsOf(success_reply & /*Item*/) { return std::tie(); }
constexpr edit_outcome lastOf(edit_outcome /*Kind*/) {
  return edit_outcome::Refused;
}

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_REPLYPACKING_H
