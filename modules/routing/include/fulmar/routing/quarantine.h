// The fingerprints that are answered at once because their requests crashed
// targets: those published by the control instances, and those that this
// instance saw crash two targets itself.

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
  /// Longest time kept, whatever the wall clocks say: as long as a quarantine
  /// may last.
  static constexpr base::duration MaxTime = std::chrono::hours(24);

  /// Takes a published item over. The wall clock is read once, on receipt;
  /// later steps of it do not matter.
  void publish(std::uint64_t Fingerprint,
               std::chrono::system_clock::time_point Until,
               std::chrono::system_clock::time_point WallNow,
               base::instant Now);
  /// The published item was removed.
  void withdraw(std::uint64_t Fingerprint) { Until.erase(Fingerprint); }

  /// Quarantines for \p Time; never shortens.
  void add(std::uint64_t Fingerprint, base::duration Time, base::instant Now);

  /// Time left, for Retry-After; empty when not quarantined.
  [[nodiscard]] std::optional<base::duration>
  remaining(std::uint64_t Fingerprint, base::instant Now) const;

  /// Forgets what has ended.
  void expire(base::instant Now);
  [[nodiscard]] std::size_t size() const { return Until.size(); }

private:
  std::unordered_map<std::uint64_t, base::instant> Until;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_QUARANTINE_H
