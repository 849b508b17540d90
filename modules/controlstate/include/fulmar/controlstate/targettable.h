// The targets that have reported, by id. One address belongs to the run that
// started last; a run that has left is remembered, so that a late report of it
// brings nothing back.

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

/// Targets that have left and are remembered; some hours of replacements at
/// one a second.
inline constexpr std::size_t MaxLeftTargets = 8'192;

class target_table {
public:
  /// Returns the ids whose entries changed: the reporter, and whoever held its
  /// address before. Empty when a newer report is held.
  std::vector<std::string> update(const fleet::target_report &Report);
  /// Marks the held run as left unless it started after \p StartedAtMs, where
  /// that is not 0. False when nothing changed.
  bool markLeft(const std::string &Id, std::int64_t StartedAtMs);
  /// Forgets the target if its held report is still the one named. False when
  /// nothing changed.
  bool expire(const target_expired_command &Expiry);

  /// Null when \p Id never reported or was forgotten.
  [[nodiscard]] const fleet::target_report *find(const std::string &Id) const;
  [[nodiscard]] const std::map<std::string, fleet::target_report> &all() const {
    return Targets;
  }
  /// True when update() would change something.
  [[nodiscard]] bool wouldChange(const fleet::target_report &Report) const;

  [[nodiscard]] std::string encode() const;
  base::result<void> decode(std::string_view Encoded);

private:
  /// The present holder of the address, other than \p Report's id.
  [[nodiscard]] const fleet::target_report *
  otherTargetAt(const fleet::target_report &Report) const;
  void releaseAddress(const fleet::target_report &Stored);
  void evictOldestLeft();

  std::map<std::string, fleet::target_report> Targets;
  /// Ids that are present, by address. Derived from Targets.
  std::map<std::string, std::string> IdsByAddress;
  /// Entries of Targets that have left.
  std::size_t LeftCount = 0;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_TARGETTABLE_H
