// A token bucket that holds what some quiet seconds left over.

#include "fulmar/placement/probebudget.h"

#include <algorithm>

namespace fulmar::placement {

namespace {

/// Part of the bound that is used; entries don't get equal shares of requests.
constexpr double UsedShare = 0.8;
/// Seconds whose looks may be saved up: the bound is one over a long time, and
/// surges are when looks are worth most.
constexpr double BurstSeconds = 15;
/// Enough for a request while no target is known.
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
  // The first call finds the bucket full.
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
