// Order and encoding of target reports.

#include "fulmar/fleet/targetreport.h"

#include "fulmar/fleet/fleetpacking.h"

#include <utility>

namespace fulmar::fleet {

const char *nameOf(target_phase Phase) {
  switch (Phase) {
  case target_phase::Serving:
    return "serving";
  case target_phase::Draining:
    return "draining";
  case target_phase::Left:
    return "left";
  }
  return "unknown";
}

bool isNewer(const target_report &Report, const target_report &Held) {
  if (Report.StartedAtMs != Held.StartedAtMs)
    return Report.StartedAtMs > Held.StartedAtMs;
  // A run that has shut down does not return.
  if (Held.Phase == target_phase::Left)
    return false;
  return Report.Phase == target_phase::Left || Report.Sequence > Held.Sequence;
}

bool isSignificantUpdate(const target_report &Report,
                         const target_report &Held) {
  target_report Normalised = Report;
  Normalised.Sequence = Held.Sequence;
  Normalised.RemainingWarmUpMs = Held.RemainingWarmUpMs;
  // A target may turn cold again within the same run.
  const bool TurnedCold = Report.RemainingWarmUpMs > Held.RemainingWarmUpMs;
  return Normalised != Held || TurnedCold;
}

std::string encodeTarget(const target_report &Report) {
  return claims::packValue(Report);
}

base::result<target_report> decodeTarget(std::string_view Bytes) {
  return claims::unpackValue<target_report>(Bytes);
}

} // namespace fulmar::fleet
