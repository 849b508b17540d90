// Applies operations on data centres, each once.

#include "fulmar/controlstate/datacentretable.h"

#include "fulmar/controlstate/commandpacking.h"

namespace fulmar::controlstate {

static auto fieldsOf(data_centre_state &Item) {
  return std::tie(Item.In, Item.Serial, Item.Author, Item.Operation);
}

std::optional<base::result<data_centre_reply>>
data_centre_table::answerOf(const data_centre_command &Operation) const {
  const auto Found = Operations.find(Operation.Operation);
  if (Found == Operations.end())
    return std::nullopt;
  const operation &First = Found->second;
  if (First.Name != Operation.Name || First.Action != Operation.Action)
    return base::fail(base::error_kind::Conflict,
                      "operation " + Operation.Operation +
                          " was another one on " + First.Name);
  return data_centre_reply{.Serial = First.Serial,
                           .In = First.Action == data_centre_action::Return,
                           .Repeated = true};
}

data_centre_reply
data_centre_table::apply(std::uint64_t Serial,
                         const data_centre_command &Operation) {
  const bool In = Operation.Action == data_centre_action::Return;
  data_centre_state &State = States[Operation.Name];
  if (State.In != In || State.Serial == 0)
    State = {.In = In,
             .Serial = Serial,
             .Author = Operation.Author,
             .Operation = Operation.Operation};
  Operations[Operation.Operation] = {.Name = Operation.Name,
                                     .Action = Operation.Action,
                                     .Serial = State.Serial};
  return {.Serial = State.Serial, .In = In};
}

data_centre_state data_centre_table::stateOf(const std::string &Name) const {
  const auto Found = States.find(Name);
  return Found == States.end() ? data_centre_state() : Found->second;
}

std::string data_centre_table::encode() const {
  return claims::packValue(std::make_tuple(States, Operations));
}

base::result<void> data_centre_table::decode(std::string_view Encoded) {
  using tables = std::tuple<std::map<std::string, data_centre_state>,
                            std::map<std::string, operation>>;
  BOOST_OUTCOME_TRY(Decoded, claims::unpackValue<tables>(Encoded));
  std::tie(States, Operations) = std::move(Decoded);
  return base::success();
}

} // namespace fulmar::controlstate
