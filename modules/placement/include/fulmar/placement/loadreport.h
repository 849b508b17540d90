// The load that a target reports, and the expected duration of a request there.
//
// Targets share machines with other software, so their speed changes several
// times per second. Only load reports from the last few milliseconds are useful
// for comparing targets.

#ifndef FULMAR_PLACEMENT_LOADREPORT_H
#define FULMAR_PLACEMENT_LOADREPORT_H

#include "fulmar/base/time.h"

#include <compare>
#include <cstdint>

namespace fulmar::placement {

struct load_report {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// Requests that the target runs concurrently; 0 if it does not report its
  /// load.
  std::uint32_t Slots = 0;
  /// Current processing time relative to normal.
  double Slowdown = 1;
  /// Time until the target is warm.
  base::duration RemainingWarmUp{};

  friend auto operator<=>(const load_report &, const load_report &) = default;
};

/// Requests sent by this entry that the target's report may not include yet.
using unreported_requests = std::uint32_t;

/// Returns the expected duration of a request relative to its duration on an
/// idle, undisturbed target; 1 is best.
double expectedTimeFactor(const load_report &Load,
                          unreported_requests Unreported);

/// Returns true if the target is neither slowed down nor near saturation, so
/// that there is no need to look for a better one.
bool isLightlyLoaded(const load_report &Load, unreported_requests Unreported);

/// Returns the number of concurrent requests at which a target with \p Slots
/// reaches its maximum throughput. Above its saturation point a target may
/// complete fewer requests per second than below it.
std::uint32_t usableSlots(std::uint32_t Slots);

/// Returns the number of requests that run or are queued at the target.
std::uint32_t outstandingRequests(const load_report &Load,
                                  unreported_requests Unreported);

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_LOADREPORT_H
