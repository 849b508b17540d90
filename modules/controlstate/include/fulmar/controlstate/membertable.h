// The members of the system: entries and control instances that live.

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
  /// Adds a member or replaces its report. Returns the incarnation that the
  /// report replaces, empty when there was none or it is the same one.
  std::string join(const member_report &Report);
  /// False when \p Id is no member under \p Incarnation.
  bool expire(const std::string &Id, const std::string &Incarnation);

  [[nodiscard]] bool contains(const std::string &Id,
                              const std::string &Incarnation) const;
  [[nodiscard]] const std::map<std::string, member_report> &all() const {
    return Members;
  }
  /// Grows with every change.
  [[nodiscard]] std::uint64_t epoch() const { return Epoch; }

  [[nodiscard]] std::string encode() const;
  base::result<void> decode(std::string_view Encoded);

private:
  std::map<std::string, member_report> Members;
  std::uint64_t Epoch = 0;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_MEMBERTABLE_H
