// The routing plan in force, and the document that it was read from.

#ifndef FULMAR_CONTROLSTATE_PLANTABLE_H
#define FULMAR_CONTROLSTATE_PLANTABLE_H

#include "fulmar/controlstate/commands.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmar::controlstate {

class plan_table {
public:
  /// False, and nothing changed, unless the version is above the one in force.
  bool replace(const plan_command &Replacement);

  /// 0 while there is no plan.
  [[nodiscard]] std::uint64_t version() const { return Current.Version; }
  [[nodiscard]] const plan_command &current() const { return Current; }

  [[nodiscard]] std::string encode() const;
  base::result<void> decode(std::string_view Encoded);

private:
  plan_command Current;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_PLANTABLE_H
