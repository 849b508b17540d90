// Divides a target's capacity between the entries that use its service:
// a floor of one for each where there is enough, the rest by weight, and what
// can't be divided in whole requests by turns.

#ifndef FULMAR_DIRECTORY_INTERNAL_SHAREDIVIDER_H
#define FULMAR_DIRECTORY_INTERNAL_SHAREDIVIDER_H

#include <cstddef>
#include <cstdint>
#include <span>

namespace fulmar::directory {

/// One entry's claim on a target.
struct share_claim {
  /// Positive.
  std::uint32_t Weight = 1;
  /// Grows by 1/Weight with each turn; the smallest is served next.
  double Pass = 0;
  /// Orders claims with equal passes, differently at each target.
  std::uint64_t TieBreak = 0;
  bool InTurn = false;
};

struct entitlement {
  /// Requests in flight that the entry has all the time.
  std::uint32_t Base = 0;
  /// The entry has, or may begin, a turn for one more.
  bool Turn = false;
};

/// Weight of an entry that wants \p Wanted requests in flight. Entries that
/// want none yet keep a small one, so that their next request finds a share.
std::uint32_t claimWeight(std::uint32_t Wanted);

entitlement entitlementOf(std::span<const share_claim> Claims,
                          std::size_t Asking, std::uint32_t Capacity);

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_SHAREDIVIDER_H
