// The targets that have reported, by id. If several targets report the same
// address, it belongs to the one that started last. Targets that have left are
// kept for a while, so that a delayed report cannot add them again.

#ifndef FULMAR_CONTROLSTATE_TARGETTABLE_H
#define FULMAR_CONTROLSTATE_TARGETTABLE_H

#include "fulmar/base/result.h"
#include "fulmar/controlstate/commands.h"
#include "fulmar/fleet/targetreport.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::controlstate {

/// Number of targets that are kept after they have left. Covers about two hours
/// in which one target a second is replaced.
inline constexpr std::size_t MaxLeftTargets = 8'192;

class target_table {
public:
  /// Stores a report. Returns the ids of the changed targets: the reporting one
  /// and the previous owner of its address. Empty if the report is outdated or
  /// changes nothing.
  std::vector<std::string> update(const fleet::target_report &Report);
  /// Marks a target as left. If \p StartedAtMs is not 0, a run that started
  /// later is not affected. Returns false if nothing changed.
  bool markLeft(const std::string &Id, std::int64_t StartedAtMs);
  /// Removes a target if \p Expiry still names its latest report. Returns false
  /// if nothing changed.
  bool expire(const target_expired_command &Expiry);

  /// Null if \p Id is unknown; targets that have left may still be found.
  [[nodiscard]] const fleet::target_report *find(const std::string &Id) const;
  [[nodiscard]] const std::map<std::string, fleet::target_report> &all() const {
    return Targets;
  }
  /// True if \p Report says something that the table does not hold, whoever
  /// owns its address.
  [[nodiscard]] bool isNews(const fleet::target_report &Report) const;
  /// True if the record of \p Serving would be dropped as soon as it left,
  /// because targets that started later fill the room for those that left.
  [[nodiscard]] bool
  wouldDropDeparture(const fleet::target_report &Serving) const;
  /// True if update() would change the table.
  [[nodiscard]] bool wouldChange(const fleet::target_report &Report) const;

  [[nodiscard]] std::string encode() const;
  base::result<void> decode(std::string_view Encoded);

private:
  /// The target that owns the address in \p Report, if its id is another one.
  [[nodiscard]] const fleet::target_report *
  otherTargetAt(const fleet::target_report &Report) const;
  void releaseAddress(const fleet::target_report &Stored);
  void evictOldestLeft();

  std::map<std::string, fleet::target_report> Targets;
  /// Ids of the targets that have not left, by address. Derived from Targets.
  std::map<std::string, std::string> IdsByAddress;
  /// Number of entries in Targets that have left.
  std::size_t LeftCount = 0;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_TARGETTABLE_H
