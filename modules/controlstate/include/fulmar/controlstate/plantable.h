// The current routing plan and the document it was parsed from.

#ifndef FULMAR_CONTROLSTATE_PLANTABLE_H
#define FULMAR_CONTROLSTATE_PLANTABLE_H

#include "fulmar/controlstate/commands.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmar::controlstate {

class plan_table {
public:
  /// Returns false, without any change, unless the version is higher than the
  /// current one.
  bool replace(const plan_command &Replacement);

  /// 0 if there is no plan yet.
  [[nodiscard]] std::uint64_t version() const { return Current.Version; }
  [[nodiscard]] const plan_command &current() const { return Current; }

  [[nodiscard]] std::string encode() const;
  base::result<void> decode(std::string_view Encoded);

private:
  plan_command Current;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_PLANTABLE_H
