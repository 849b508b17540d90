// Orders reports by run and sequence, and keeps one target an address.

#include "fulmar/controlstate/targettable.h"

#include "fulmar/fleet/fleetpacking.h"

#include <algorithm>

namespace fulmar::controlstate {

using fleet::target_phase;
using fleet::target_report;

const target_report *target_table::find(const std::string &Id) const {
  const auto Found = Targets.find(Id);
  return Found == Targets.end() ? nullptr : &Found->second;
}

const target_report *target_table::otherAt(const target_report &Report) const {
  const auto Found = ByAddress.find(Report.Address);
  if (Found == ByAddress.end() || Found->second == Report.Id)
    return nullptr;
  return find(Found->second);
}

bool target_table::wants(const target_report &Report) const {
  const target_report *Held = find(Report.Id);
  if (Held != nullptr &&
      (!isNewer(Report, *Held) || !isSignificantUpdate(Report, *Held)))
    return false;
  const target_report *Other = otherAt(Report);
  return Other == nullptr || Other->StartedAtMs <= Report.StartedAtMs;
}

std::vector<std::string> target_table::take(const target_report &Report) {
  if (!wants(Report))
    return {};
  std::vector<std::string> Changed{Report.Id};
  if (const target_report *Other = otherAt(Report)) {
    Changed.push_back(Other->Id);
    leave(Other->Id, 0);
  }
  target_report &Held = Targets[Report.Id];
  if (Held.Phase == target_phase::Left)
    --Left;
  releaseAddress(Held);
  Held = Report;
  if (Report.Phase == target_phase::Left)
    ++Left;
  else
    ByAddress[Report.Address] = Report.Id;
  forgetOldest();
  return Changed;
}

void target_table::releaseAddress(const target_report &Held) {
  const auto Place = ByAddress.find(Held.Address);
  if (Place != ByAddress.end() && Place->second == Held.Id)
    ByAddress.erase(Place);
}

bool target_table::leave(const std::string &Id, std::int64_t StartedAtMs) {
  const auto Found = Targets.find(Id);
  if (Found == Targets.end() || Found->second.Phase == target_phase::Left ||
      (StartedAtMs != 0 && Found->second.StartedAtMs > StartedAtMs))
    return false;
  Found->second.Phase = target_phase::Left;
  ++Left;
  releaseAddress(Found->second);
  forgetOldest();
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

void target_table::forgetOldest() {
  while (Left > MaxLeftTargets) {
    auto Oldest = Targets.end();
    for (auto Entry = Targets.begin(); Entry != Targets.end(); ++Entry) {
      if (Entry->second.Phase == target_phase::Left &&
          (Oldest == Targets.end() ||
           Entry->second.StartedAtMs < Oldest->second.StartedAtMs))
        Oldest = Entry;
    }
    Targets.erase(Oldest);
    --Left;
  }
}

std::string target_table::encode() const { return claims::packValue(Targets); }

base::result<void> target_table::decode(std::string_view Encoded) {
  using table = std::map<std::string, target_report>;
  BOOST_OUTCOME_TRY(Decoded, claims::unpackValue<table>(Encoded));
  Targets = std::move(Decoded);
  ByAddress.clear();
  Left = 0;
  for (const auto &[Id, Report] : Targets) {
    if (Report.Phase == target_phase::Left)
      ++Left;
    else
      ByAddress[Report.Address] = Id;
  }
  return base::success();
}

} // namespace fulmar::controlstate
