// Weighted division, with stride scheduling of the remainder.

#include "sharedivider.h"

#include <algorithm>
#include <tuple>

namespace fulmar::directory {

namespace {

bool isServedBefore(const share_claim &A, const share_claim &B) {
  return std::tie(A.Pass, A.TieBreak) < std::tie(B.Pass, B.TieBreak);
}

/// Values shared by the computation of all claims.
struct division {
  std::uint32_t Floor = 0;
  std::uint64_t ByWeight = 0;
  /// Always positive, because every claim has a positive weight.
  std::uint64_t TotalWeight = 1;

  [[nodiscard]] std::uint32_t baseOf(const share_claim &Claim) const {
    return Floor +
           static_cast<std::uint32_t>(ByWeight * Claim.Weight / TotalWeight);
  }
};

division divide(std::span<const share_claim> Claims, std::uint32_t Capacity) {
  division Division{.Floor = Capacity >= Claims.size() ? 1U : 0U};
  Division.ByWeight = Capacity - Division.Floor * Claims.size();
  std::uint64_t TotalWeight = 0;
  for (const share_claim &Claim : Claims)
    TotalWeight += Claim.Weight;
  Division.TotalWeight = std::max<std::uint64_t>(TotalWeight, 1);
  return Division;
}

} // namespace

std::uint32_t claimWeight(std::uint32_t Wanted) {
  constexpr std::uint32_t MaxWanted = 1024;
  constexpr std::uint32_t WeightPerWanted = 4;
  return 1 + WeightPerWanted * std::min(Wanted, MaxWanted);
}

entitlement entitlementOf(std::span<const share_claim> Claims,
                          std::size_t Asking, std::uint32_t Capacity) {
  const division Division = divide(Claims, Capacity);
  const share_claim &Own = Claims[Asking];
  std::uint64_t TotalBase = 0;
  std::uint64_t InTurn = 0;
  std::uint64_t AheadOfOwn = 0;
  for (const share_claim &Claim : Claims) {
    TotalBase += Division.baseOf(Claim);
    if (Claim.InTurn)
      ++InTurn;
    else if (isServedBefore(Claim, Own))
      ++AheadOfOwn;
  }
  const std::uint64_t Turns = Capacity - TotalBase;
  return {.Base = Division.baseOf(Own),
          .Turn = Own.InTurn || InTurn + AheadOfOwn < Turns};
}

} // namespace fulmar::directory
