// Set of fingerprints whose requests are refused because they crashed targets.
// Used for the quarantines published by the control instances and for those
// that an instance imposes after it has seen a request crash two targets.

#ifndef FULMAR_ROUTING_QUARANTINE_H
#define FULMAR_ROUTING_QUARANTINE_H

#include "fulmar/base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace fulmar::routing {

class quarantine {
public:
  /// Upper limit for the remaining time, whatever the wall clocks say. Equals
  /// the longest time that a quarantine may last.
  static constexpr base::duration MaxTime = std::chrono::hours(24);

  /// Adds a published item. The wall clock is only used to compute the
  /// remaining time on receipt, so later clock changes have no effect.
  void publish(std::uint64_t Fingerprint,
               std::chrono::system_clock::time_point Until,
               std::chrono::system_clock::time_point WallNow,
               base::instant Now);
  /// Removes a fingerprint, such as when its published item was removed.
  void withdraw(std::uint64_t Fingerprint) { Until.erase(Fingerprint); }

  /// Quarantines a fingerprint for \p Time; never shortens a quarantine.
  void add(std::uint64_t Fingerprint, base::duration Time, base::instant Now);

  /// Remaining time, for the Retry-After header; empty if not quarantined.
  [[nodiscard]] std::optional<base::duration>
  remaining(std::uint64_t Fingerprint, base::instant Now) const;

  /// Removes the quarantines that have ended.
  void expire(base::instant Now);
  [[nodiscard]] std::size_t size() const { return Until.size(); }

private:
  std::unordered_map<std::uint64_t, base::instant> Until;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_QUARANTINE_H
