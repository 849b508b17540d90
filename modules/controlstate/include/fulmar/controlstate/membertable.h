// The entries and control instances that are currently members of the cluster.

#ifndef FULMAR_CONTROLSTATE_MEMBERTABLE_H
#define FULMAR_CONTROLSTATE_MEMBERTABLE_H

#include "fulmar/controlstate/commands.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fulmar::controlstate {

class member_table {
public:
  /// Adds a member or updates its report. Returns the previous incarnation of
  /// the member if the report comes from another one, otherwise an empty
  /// string.
  std::string join(const member_report &Report);
  /// Removes a member. Returns false if there is no member \p Id with this
  /// \p Incarnation.
  bool expire(const std::string &Id, const std::string &Incarnation);

  [[nodiscard]] bool contains(const std::string &Id,
                              const std::string &Incarnation) const;
  [[nodiscard]] const std::map<std::string, member_report> &all() const {
    return Members;
  }
  /// Incremented with every change of the table.
  [[nodiscard]] std::uint64_t epoch() const { return Epoch; }

  [[nodiscard]] std::string encode() const;
  base::result<void> decode(std::string_view Encoded);

private:
  std::map<std::string, member_report> Members;
  std::uint64_t Epoch = 0;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_MEMBERTABLE_H
