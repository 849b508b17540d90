// How loaded a target says it is, and how much longer than usual a request
// would take there.
//
// Answers load whose targets share machines with others: how long work takes
// changes several times a second, so that only a report of the last
// milliseconds is worth comparing.

#ifndef FULMAR_PLACEMENT_LOADREPORT_H
#define FULMAR_PLACEMENT_LOADREPORT_H

#include "fulmar/base/time.h"

#include <compare>
#include <cstdint>

namespace fulmar::placement {

struct load_report {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// 0 when the target does not tell its load.
  std::uint32_t Slots = 0;
  /// How long work takes now, relative to usual.
  double Slowdown = 1;
  /// How much longer the target stays cold.
  base::duration RemainingWarmUp{};

  friend auto operator<=>(const load_report &, const load_report &) = default;
};

/// Requests of this entry at the target that the report may not show yet.
using unreported_requests = std::uint32_t;

/// Expected time of a request relative to one on an idle, undisturbed target;
/// 1 is best.
double expectedTimeFactor(const load_report &Load,
                          unreported_requests Unreported);

/// A target that is neither disturbed nor crowded: no better one need be
/// looked for.
bool isLightlyLoaded(const load_report &Load, unreported_requests Unreported);

/// Requests that a target with \p Slots runs at its best throughput: above its
/// knee it may finish less in the same time than below.
std::uint32_t usableSlots(std::uint32_t Slots);

/// Requests that run or wait at the target.
std::uint32_t outstandingRequests(const load_report &Load,
                                  unreported_requests Unreported);

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_LOADREPORT_H
