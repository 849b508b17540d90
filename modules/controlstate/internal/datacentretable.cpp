// Idempotent operations on data centres.

#include "fulmar/controlstate/datacentretable.h"

#include "fulmar/controlstate/commandpacking.h"

namespace fulmar::controlstate {

static auto fieldsOf(data_centre_state &Item) {
  return std::tie(Item.InService, Item.Serial, Item.Author, Item.OperationId);
}

std::optional<base::result<data_centre_reply>>
data_centre_table::previousReply(const data_centre_command &Operation) const {
  const auto Found = Operations.find(Operation.OperationId);
  if (Found == Operations.end())
    return std::nullopt;
  const applied_operation &Applied = Found->second;
  if (Applied.Name != Operation.Name || Applied.Action != Operation.Action)
    return base::fail(base::error_kind::Conflict,
                      "operation " + Operation.OperationId +
                          " was another one on " + Applied.Name);
  return data_centre_reply{.Serial = Applied.Serial,
                           .InService =
                               Applied.Action == data_centre_action::Return,
                           .Repeated = true};
}

data_centre_reply
data_centre_table::apply(std::uint64_t Serial,
                         const data_centre_command &Operation) {
  const bool InService = Operation.Action == data_centre_action::Return;
  data_centre_state &State = States[Operation.Name];
  if (State.InService != InService || State.Serial == 0)
    State = {.InService = InService,
             .Serial = Serial,
             .Author = Operation.Author,
             .OperationId = Operation.OperationId};
  Operations[Operation.OperationId] = {.Name = Operation.Name,
                                       .Action = Operation.Action,
                                       .Serial = State.Serial};
  return {.Serial = State.Serial, .InService = InService};
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
                            std::map<std::string, applied_operation>>;
  BOOST_OUTCOME_TRY(Decoded, claims::unpackValue<tables>(Encoded));
  std::tie(States, Operations) = std::move(Decoded);
  return base::success();
}

} // namespace fulmar::controlstate
