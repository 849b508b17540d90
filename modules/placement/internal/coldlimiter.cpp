#include "fulmar/placement/coldlimiter.h"

#include "fulmar/base/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace fulmar::placement {

namespace {

std::size_t sendersFor(double Rate, std::size_t Entries) {
  const auto Whole = static_cast<std::size_t>(std::max(1.0, std::floor(Rate)));
  return std::min(Whole, Entries);
}

} // namespace

void cold_limiter::setEntries(std::vector<std::string> Ids) {
  Entries = std::move(Ids);
}

bool cold_limiter::isSender(const std::string &Target,
                            std::size_t Senders) const {
  if (std::find(Entries.begin(), Entries.end(), EntryId) == Entries.end())
    return false;
  const std::uint64_t Own = base::rendezvousWeight(Target, EntryId);
  const auto Before =
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Entry) {
        return Entry != EntryId && base::rendezvousWeight(Target, Entry) > Own;
      });
  return static_cast<std::size_t>(Before) < Senders;
}

bool cold_limiter::allows(const std::string &Target, double Rate,
                          base::instant Now) const {
  if (Rate <= 0)
    return false;
  const auto Found = NextSendAt.find(Target);
  if (Found != NextSendAt.end() && Now < Found->second)
    return false;
  return isSender(Target, sendersFor(Rate, Entries.size()));
}

bool cold_limiter::take(const std::string &Target, double Rate,
                        base::instant Now) {
  if (!allows(Target, Rate, Now))
    return false;
  const double Senders = static_cast<double>(sendersFor(Rate, Entries.size()));
  constexpr double MicrosPerSecond = 1e6;
  const auto Interval = base::duration(
      static_cast<base::duration::rep>(Senders / Rate * MicrosPerSecond));
  std::erase_if(NextSendAt,
                [Now](const auto &Next) { return Next.second < Now; });
  NextSendAt[Target] = Now + Interval;
  return true;
}

} // namespace fulmar::placement
