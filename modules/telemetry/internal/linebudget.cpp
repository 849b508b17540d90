// Counts lines in whole seconds.

#include "internal/linebudget.h"

#include <utility>

namespace fulmar::telemetry {

std::optional<std::uint64_t> line_budget::admit(std::string_view Kind,
                                                base::instant Now) {
  auto Found = Kinds.find(Kind);
  if (Found == Kinds.end())
    Found = Kinds.emplace(Kind, kind_state{.SecondBegan = Now}).first;
  kind_state &State = Found->second;
  if (Now - State.SecondBegan >= std::chrono::seconds(1)) {
    State.SecondBegan = Now;
    State.Written = 0;
  }
  if (State.Written >= Limit) {
    ++State.LeftOut;
    return std::nullopt;
  }
  ++State.Written;
  return std::exchange(State.LeftOut, 0);
}

} // namespace fulmar::telemetry
