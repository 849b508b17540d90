#include "fulmar/placement/fleetratelimiter.h"

#include "fulmar/base/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace fulmar::placement {

namespace {

/// Longer intervals are treated like this one.
constexpr base::duration MaxInterval = std::chrono::hours(1);
/// Limits above this are no limits in practice.
constexpr double MaxRate = 1e6;
/// Bounds the memory for targets that come and go.
constexpr std::size_t MaxKnownRanks = 4'096;

} // namespace

void fleet_rate_limiter::setEntries(std::vector<std::string> Ids) {
  if (Ids == Entries)
    return;
  Entries = std::move(Ids);
  Ranks.clear();
}

std::size_t fleet_rate_limiter::senders(double Rate) const {
  const auto Whole = static_cast<std::size_t>(std::min(Rate, MaxRate));
  return std::clamp<std::size_t>(Options.ExtraSenders + Whole, 1,
                                 std::max<std::size_t>(1, Entries.size()));
}

std::optional<std::size_t> fleet_rate_limiter::rank(const std::string &Target) {
  const auto Known = Ranks.find(Target);
  if (Known != Ranks.end())
    return Known->second;
  std::optional<std::size_t> Rank;
  if (std::find(Entries.begin(), Entries.end(), EntryId) != Entries.end()) {
    const std::uint64_t Own = base::rendezvousWeight(Target, EntryId);
    Rank = static_cast<std::size_t>(
        std::count_if(Entries.begin(), Entries.end(), [&](const auto &Entry) {
          return Entry != EntryId &&
                 base::rendezvousWeight(Target, Entry) > Own;
        }));
  }
  if (Ranks.size() >= MaxKnownRanks)
    Ranks.clear();
  Ranks.emplace(Target, Rank);
  return Rank;
}

std::optional<base::instant>
fleet_rate_limiter::availableFrom(const std::string &Target, double Rate,
                                  base::instant Now) {
  if (!(Rate > 0))
    return std::nullopt;
  const std::size_t Senders = senders(Rate);
  const auto Rank = rank(Target);
  if (!Rank || *Rank >= Senders) {
    Uses.erase(Target);
    return std::nullopt;
  }
  const auto Found = Uses.find(Target);
  if (Found == Uses.end() && !Options.DelaysFirst)
    return Now;
  std::erase_if(Uses, [Now](const auto &Use) {
    return Now - Use.second.AskedAt > MaxInterval;
  });
  target_use &Use =
      Uses.try_emplace(Target, target_use{.Since = Now}).first->second;
  Use.AskedAt = Now;
  const std::chrono::duration<double> Seconds(static_cast<double>(Senders) /
                                              Rate);
  const auto Interval =
      Seconds < MaxInterval
          ? std::chrono::duration_cast<base::duration>(Seconds)
          : MaxInterval;
  return std::max(Now, Use.Since + Interval);
}

bool fleet_rate_limiter::allows(const std::string &Target, double Rate,
                                base::instant Now) {
  return availableFrom(Target, Rate, Now) == Now;
}

bool fleet_rate_limiter::take(const std::string &Target, double Rate,
                              base::instant Now) {
  if (!allows(Target, Rate, Now))
    return false;
  Uses[Target] = {.Since = Now, .AskedAt = Now};
  return true;
}

} // namespace fulmar::placement
