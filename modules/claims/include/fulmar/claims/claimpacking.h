// msgpack encoding of the types in iclaimstore.h; see packing.h.

#ifndef FULMAR_CLAIMS_CLAIMPACKING_H
#define FULMAR_CLAIMS_CLAIMPACKING_H

#include "fulmar/claims/iclaimstore.h"
#include "fulmar/claims/packing.h"

namespace fulmar::claims {

inline auto fieldsOf(claim_request &Item) {
  return std::tie(Item.Service, Item.Key, Item.ContentDigest, Item.Holder);
}
inline auto fieldsOf(recorded_answer &Item) {
  return std::tie(Item.Status, Item.ContentType, Item.Body);
}
inline auto fieldsOf(claim_result &Item) {
  return std::tie(Item.State, Item.Answer);
}
constexpr claim_state lastOf(claim_state /*Kind*/) {
  return claim_state::OutcomeUnknown;
}
constexpr claim_end lastOf(claim_end /*Kind*/) { return claim_end::Unknown; }

} // namespace fulmar::claims

#endif // FULMAR_CLAIMS_CLAIMPACKING_H
