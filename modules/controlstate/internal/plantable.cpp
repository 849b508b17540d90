// Replacement of the routing plan by higher versions.

#include "fulmar/controlstate/plantable.h"

#include "fulmar/controlstate/commandpacking.h"

namespace fulmar::controlstate {

bool plan_table::replace(const plan_command &Replacement) {
  if (Replacement.Version <= Current.Version)
    return false;
  Current = Replacement;
  return true;
}

std::string plan_table::encode() const { return claims::packValue(Current); }

base::result<void> plan_table::decode(std::string_view Encoded) {
  BOOST_OUTCOME_TRY(Decoded, claims::unpackValue<plan_command>(Encoded));
  Current = std::move(Decoded);
  return base::success();
}

} // namespace fulmar::controlstate
