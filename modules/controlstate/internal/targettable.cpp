// Orders reports by run and sequence number, and assigns each address to one
// target.

#include "fulmar/controlstate/targettable.h"

#include "fulmar/fleet/fleetpacking.h"

#include <algorithm>
#include <tuple>

namespace fulmar::controlstate {

using fleet::target_phase;
using fleet::target_report;

const target_report *target_table::find(const std::string &Id) const {
  const auto Found = Targets.find(Id);
  return Found == Targets.end() ? nullptr : &Found->second;
}

const target_report *
target_table::otherTargetAt(const target_report &Report) const {
  const auto Found = IdsByAddress.find(Report.Address);
  if (Found == IdsByAddress.end() || Found->second == Report.Id)
    return nullptr;
  return find(Found->second);
}

bool target_table::isNews(const target_report &Report) const {
  const target_report *Stored = find(Report.Id);
  return Stored == nullptr ||
         (isNewer(Report, *Stored) && isSignificantUpdate(Report, *Stored));
}

bool target_table::wouldChange(const target_report &Report) const {
  if (!isNews(Report))
    return false;
  const target_report *Other = otherTargetAt(Report);
  return Other == nullptr || Other->StartedAtMs <= Report.StartedAtMs;
}

std::vector<std::string> target_table::update(const target_report &Report) {
  if (!wouldChange(Report))
    return {};
  std::vector<std::string> Changed{Report.Id};
  if (const target_report *Other = otherTargetAt(Report)) {
    Changed.push_back(Other->Id);
    markLeft(Other->Id, 0);
  }
  target_report &Stored = Targets[Report.Id];
  if (Stored.Phase == target_phase::Left)
    --LeftCount;
  releaseAddress(Stored);
  Stored = Report;
  if (Report.Phase == target_phase::Left)
    ++LeftCount;
  else
    IdsByAddress[Report.Address] = Report.Id;
  evictOldestLeft();
  return Changed;
}

void target_table::releaseAddress(const target_report &Stored) {
  const auto Entry = IdsByAddress.find(Stored.Address);
  if (Entry != IdsByAddress.end() && Entry->second == Stored.Id)
    IdsByAddress.erase(Entry);
}

bool target_table::markLeft(const std::string &Id, std::int64_t StartedAtMs) {
  const auto Found = Targets.find(Id);
  if (Found == Targets.end() || Found->second.Phase == target_phase::Left ||
      (StartedAtMs != 0 && Found->second.StartedAtMs > StartedAtMs))
    return false;
  Found->second.Phase = target_phase::Left;
  ++LeftCount;
  releaseAddress(Found->second);
  evictOldestLeft();
  return true;
}

bool target_table::expire(const target_expired_command &Expiry) {
  const auto Found = Targets.find(Expiry.Id);
  if (Found == Targets.end() || Found->second.Phase == target_phase::Left ||
      Found->second.StartedAtMs != Expiry.StartedAtMs ||
      Found->second.Sequence != Expiry.Sequence)
    return false;
  releaseAddress(Found->second);
  Targets.erase(Found);
  return true;
}

bool target_table::wouldDropDeparture(const target_report &Serving) const {
  if (LeftCount < MaxLeftTargets)
    return false;
  // The order of evictOldestLeft().
  return std::none_of(Targets.begin(), Targets.end(),
                      [&Serving](const auto &Entry) {
                        const target_report &Held = Entry.second;
                        return Held.Phase == target_phase::Left &&
                               std::tie(Held.StartedAtMs, Held.Id) <
                                   std::tie(Serving.StartedAtMs, Serving.Id);
                      });
}

void target_table::evictOldestLeft() {
  while (LeftCount > MaxLeftTargets) {
    auto Oldest = Targets.end();
    for (auto Entry = Targets.begin(); Entry != Targets.end(); ++Entry) {
      if (Entry->second.Phase == target_phase::Left &&
          (Oldest == Targets.end() ||
           Entry->second.StartedAtMs < Oldest->second.StartedAtMs))
        Oldest = Entry;
    }
    Targets.erase(Oldest);
    --LeftCount;
  }
}

std::string target_table::encode() const { return claims::packValue(Targets); }

base::result<void> target_table::decode(std::string_view Encoded) {
  using table = std::map<std::string, target_report>;
  BOOST_OUTCOME_TRY(Decoded, claims::unpackValue<table>(Encoded));
  Targets = std::move(Decoded);
  IdsByAddress.clear();
  LeftCount = 0;
  for (const auto &[Id, Report] : Targets) {
    if (Report.Phase == target_phase::Left)
      ++LeftCount;
    else
      IdsByAddress[Report.Address] = Id;
  }
  return base::success();
}

} // namespace fulmar::controlstate
