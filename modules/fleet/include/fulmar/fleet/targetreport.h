// The status report that a target sends, and the order of such reports.

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
  /// Accepts no new requests.
  Draining,
  /// Has shut down. The report is kept to recognise late reports of the same
  /// run.
  Left,
};

/// For log lines.
const char *nameOf(target_phase Phase);

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
  /// Start time of this run of the target, in Unix milliseconds. A later start
  /// time with the same id denotes a new run, whose sequence begins again.
  std::int64_t StartedAtMs = 0;
  /// Increases with every report of the same run.
  std::uint64_t Sequence = 0;
  /// Time until the target is warm, measured from when the report was made.
  std::int64_t RemainingWarmUpMs = 0;

  friend auto operator<=>(const target_report &,
                          const target_report &) = default;
};

/// Returns true if \p Report was made after \p Held. Both have the same id.
bool isNewer(const target_report &Report, const target_report &Held);

/// Returns true if \p Report differs from \p Held in more than the values that
/// change with every report, so that it must be distributed to all instances.
bool isSignificantUpdate(const target_report &Report,
                         const target_report &Held);

std::string encodeTarget(const target_report &Report);
base::result<target_report> decodeTarget(std::string_view Bytes);

} // namespace fulmar::fleet

#endif // FULMAR_FLEET_TARGETREPORT_H
