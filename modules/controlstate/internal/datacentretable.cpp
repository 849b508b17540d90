// Idempotent operations on data centres.

#include "fulmar/controlstate/datacentretable.h"

#include "fulmar/controlstate/commandpacking.h"

#include <charconv>

namespace fulmar::controlstate {

static auto fieldsOf(data_centre_state &Item) {
  return std::tie(Item.InService, Item.Serial, Item.Author, Item.OperationId);
}

std::string numberedOperationId(const std::string &Name, std::uint64_t Number) {
  return Name + "#" + std::to_string(Number);
}

std::optional<std::uint64_t>
operationNumber(const data_centre_command &Operation) {
  const std::string Prefix = Operation.Name + "#";
  const std::string &Id = Operation.OperationId;
  if (!Id.starts_with(Prefix))
    return std::nullopt;
  std::uint64_t Number = 0;
  const char *Last = Id.data() + Id.size();
  const auto Read = std::from_chars(Id.data() + Prefix.size(), Last, Number);
  if (Read.ec != std::errc() || Read.ptr != Last)
    return std::nullopt;
  return Number;
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
  ++Counts[Operation.Name];
  return {.Serial = State.Serial, .InService = InService};
}

data_centre_state data_centre_table::stateOf(const std::string &Name) const {
  const auto Found = States.find(Name);
  return Found == States.end() ? data_centre_state() : Found->second;
}

std::uint64_t data_centre_table::operationsOf(const std::string &Name) const {
  const auto Found = Counts.find(Name);
  return Found == Counts.end() ? 0 : Found->second;
}

std::string data_centre_table::encode() const {
  return claims::packValue(std::make_tuple(States, Operations));
}

base::result<void> data_centre_table::decode(std::string_view Encoded) {
  using tables = std::tuple<std::map<std::string, data_centre_state>,
                            std::map<std::string, applied_operation>>;
  BOOST_OUTCOME_TRY(Decoded, claims::unpackValue<tables>(Encoded));
  std::tie(States, Operations) = std::move(Decoded);
  Counts.clear();
  for (const auto &[Id, Applied] : Operations)
    ++Counts[Applied.Name];
  return base::success();
}

} // namespace fulmar::controlstate
