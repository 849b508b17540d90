// Divides the capacity of a target between the entries that use its service.
// Each entry gets at least one request if the capacity suffices; the rest is
// divided by weight. Fractions of a request are assigned in turns, by stride
// scheduling.

#ifndef FULMAR_DIRECTORY_INTERNAL_SHAREDIVIDER_H
#define FULMAR_DIRECTORY_INTERNAL_SHAREDIVIDER_H

#include <cstddef>
#include <cstdint>
#include <span>

namespace fulmar::directory {

/// The claim of one entry on a target.
struct share_claim {
  /// Always positive.
  std::uint32_t Weight = 1;
  /// Increases by 1/Weight with each turn; the claim with the lowest pass is
  /// served next.
  double Pass = 0;
  /// Orders claims with equal passes. Differs between targets.
  std::uint64_t TieBreak = 0;
  bool InTurn = false;
};

struct entitlement {
  /// Requests in flight to which the entry is always entitled.
  std::uint32_t Base = 0;
  /// The entry has a turn for one more request, or may start one.
  bool Turn = false;
};

/// Returns the weight of an entry that wants \p Wanted requests in flight.
/// Entries without demand keep a small weight, so that a share is ready for
/// their next request.
std::uint32_t claimWeight(std::uint32_t Wanted);

entitlement entitlementOf(std::span<const share_claim> Claims,
                          std::size_t Asking, std::uint32_t Capacity);

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_SHAREDIVIDER_H
