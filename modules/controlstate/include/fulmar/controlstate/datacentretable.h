// Which data centres are in service. Operations are idempotent: their ids are
// kept permanently, so a delayed duplicate gets the original reply and changes
// nothing.
//
// An operation whose sender chose no id of its own gets a numbered one, which
// names the data centre and the count of operations that were applied to it.
// Two operations that were numbered at the same count have the same id, so at
// most one of them takes effect: a delayed one never undoes its successor.

#ifndef FULMAR_CONTROLSTATE_DATACENTRETABLE_H
#define FULMAR_CONTROLSTATE_DATACENTRETABLE_H

#include "fulmar/controlstate/commands.h"
#include "fulmar/controlstate/replies.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::controlstate {

struct data_centre_state {
  bool InService = true;
  /// Index of the log entry that made the last change.
  std::uint64_t Serial = 0;
  std::string Author;
  std::string OperationId;

  friend auto operator<=>(const data_centre_state &,
                          const data_centre_state &) = default;
};

/// Id of an operation on \p Name that takes effect only if exactly \p Number
/// operations were applied to it before.
std::string numberedOperationId(const std::string &Name, std::uint64_t Number);
/// The number in the id; empty if the operation has an id of its own.
std::optional<std::uint64_t>
operationNumber(const data_centre_command &Operation);

class data_centre_table {
public:
  /// The original reply if the operation was applied before, or Conflict if its
  /// id belongs to a different operation. Empty if the id is new.
  [[nodiscard]] std::optional<base::result<data_centre_reply>>
  previousReply(const data_centre_command &Operation) const;
  data_centre_reply apply(std::uint64_t Serial,
                          const data_centre_command &Operation);

  /// A data centre without operations is in service.
  [[nodiscard]] data_centre_state stateOf(const std::string &Name) const;
  /// All data centres that had an operation.
  [[nodiscard]] const std::map<std::string, data_centre_state> &states() const {
    return States;
  }
  [[nodiscard]] std::size_t operations() const { return Operations.size(); }
  /// Number of operations applied to a data centre.
  [[nodiscard]] std::uint64_t operationsOf(const std::string &Name) const;

  [[nodiscard]] std::string encode() const;
  base::result<void> decode(std::string_view Encoded);

private:
  struct applied_operation {
    std::string Name;
    data_centre_action Action = data_centre_action::Leave;
    std::uint64_t Serial = 0;
  };
  friend auto fieldsOf(applied_operation &Item) {
    return std::tie(Item.Name, Item.Action, Item.Serial);
  }

  std::map<std::string, data_centre_state> States;
  std::map<std::string, applied_operation> Operations;
  /// Size of Operations by data centre; not encoded.
  std::map<std::string, std::uint64_t> Counts;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_DATACENTRETABLE_H
