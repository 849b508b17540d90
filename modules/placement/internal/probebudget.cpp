#include "fulmar/placement/probebudget.h"

#include <algorithm>

namespace fulmar::placement {

namespace {

/// Fraction of the limit that is used. Requests are not distributed equally
/// over the entries, and with the full bucket of BurstSeconds the limit holds
/// over any span of 45 s in which no entry restarts.
constexpr double UsedShare = 0.75;
/// Size of the token bucket, in seconds of its refill rate. The limit applies
/// to the long-term average, and probes are most useful during surges.
constexpr double BurstSeconds = 15;
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
  // RefilledAt is initially the epoch, so the first call fills the bucket.
  const double Elapsed =
      static_cast<double>((Now - RefilledAt).count()) / MicrosPerSecond;
  Tokens = std::min(Rate * BurstSeconds, Tokens + Elapsed * Rate);
  RefilledAt = Now;
  const auto Taken =
      std::min(Wanted, static_cast<std::size_t>(std::max(0.0, Tokens)));
  Tokens -= static_cast<double>(Taken);
  return Taken;
}

} // namespace fulmar::placement
