// What a target says of itself, and which of two reports is the newer one.

#ifndef FULMAR_FLEET_TARGETREPORT_H
#define FULMAR_FLEET_TARGETREPORT_H

#include "fulmar/base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmar::fleet {

enum class target_phase : std::uint8_t {
  Serving,
  /// Takes no new work.
  Draining,
  /// Has left; kept so that late reports of the same run are recognised.
  Left,
};

struct target_report {
  std::string Id;
  std::string Service;
  std::string DataCentre;
  /// IP:PORT.
  std::string Address;
  /// Version of the target's own software.
  std::string Software;
  std::uint32_t Slots = 0;
  target_phase Phase = target_phase::Serving;
  /// Unix milliseconds of the start of this run of the target. A later start
  /// of the same id is another run, whose sequence starts anew.
  std::int64_t StartedAtMs = 0;
  /// Grows with every report of one run.
  std::uint64_t Sequence = 0;
  /// How much longer the target stays cold, counted from the report.
  std::int64_t RemainingWarmUpMs = 0;

  friend auto operator<=>(const target_report &,
                          const target_report &) = default;
};

/// True when \p Report was made after \p Held by the same id.
bool isNewer(const target_report &Report, const target_report &Held);

/// True when \p Report differs from \p Held in more than what every report
/// counts up, so that it must be told to all instances.
bool isSignificantUpdate(const target_report &Report,
                         const target_report &Held);

std::string encodeTarget(const target_report &Report);
base::result<target_report> decodeTarget(std::string_view Bytes);

} // namespace fulmar::fleet

#endif // FULMAR_FLEET_TARGETREPORT_H
