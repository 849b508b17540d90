#include "fulmar/placement/probebudget.h"

#include <algorithm>

namespace fulmar::placement {

namespace {

/// Fraction of the limit that is used, because requests are not distributed
/// equally over the entries.
constexpr double UsedShare = 0.8;
/// Size of the token bucket, in seconds of its refill rate: probes are most
/// useful during surges. With UsedShare and InitialSeconds, the limit holds
/// over any span of 28 s.
constexpr double BurstSeconds = 6;
/// What an entry that has just started has, in seconds of its refill rate. A
/// full bucket would let entries exceed the limit by restarting.
constexpr double InitialSeconds = 1;
/// Probes per second that are always allowed: enough for a request while no
/// target is known.
constexpr double MinRate = 5;

} // namespace

void probe_budget::setFleetSize(std::size_t Targets, std::size_t Entries) {
  const double EntryCount =
      static_cast<double>(std::max<std::size_t>(1, Entries));
  Rate = std::max(MinRate, MaxRatePerTarget * UsedShare *
                               static_cast<double>(Targets) / EntryCount);
}

std::size_t probe_budget::take(std::size_t Wanted, base::instant Now) {
  constexpr double MicrosPerSecond = 1e6;
  if (!RefilledAt)
    Tokens = Rate * InitialSeconds;
  const double Elapsed =
      static_cast<double>((Now - RefilledAt.value_or(Now)).count()) /
      MicrosPerSecond;
  Tokens = std::min(Rate * BurstSeconds, Tokens + Elapsed * Rate);
  RefilledAt = Now;
  const auto Taken =
      std::min(Wanted, static_cast<std::size_t>(std::max(0.0, Tokens)));
  Tokens -= static_cast<double>(Taken);
  return Taken;
}

} // namespace fulmar::placement
