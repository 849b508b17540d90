#include "fulmar/directory/ownership.h"

#include "fulmar/base/rendezvous.h"

#include <algorithm>
#include <utility>

namespace fulmar::directory {

ownership::ownership(ownership_options Given) : Options(std::move(Given)) {
  Epochs.push_back({.View = std::make_shared<const membership>()});
}

void ownership::onMembership(std::shared_ptr<const membership> View,
                             const membership_change &Change,
                             base::instant Now) {
  Epochs.push_back(
      {.View = std::move(View), .Change = Change, .LearnedAt = Now});
  // Keeps the view that was active when the handover delay began, because later
  // views are compared with it.
  while (Epochs.size() > 1 && Now - Epochs[1].LearnedAt > Options.HandoverDelay)
    Epochs.pop_front();
}

const membership &ownership::view() const { return *Epochs.back().View; }

std::optional<base::instance_id>
ownership::ownerOf(const base::target_id &Target,
                   const base::data_centre_name &DataCentre) const {
  return base::rendezvousHolder(Target.str(),
                                view().ownerCandidates(DataCentre));
}

bool ownership::ownsIn(const membership &View, const base::target_id &Target,
                       const base::data_centre_name &DataCentre) const {
  const member *OwnMember = View.find(Options.Self);
  if (OwnMember == nullptr || OwnMember->Incarnation != Options.Incarnation)
    return false;
  return base::rendezvousHolder(
             Target.str(), View.ownerCandidates(DataCentre)) == Options.Self;
}

bool ownership::owns(const base::target_id &Target,
                     const base::data_centre_name &DataCentre) const {
  return ownsIn(view(), Target, DataCentre);
}

bool ownership::mayAct(const base::target_id &Target,
                       const base::data_centre_name &DataCentre,
                       const freshness &Freshness, base::instant Now) const {
  if (!Freshness.mayStartWork(Now) || !owns(Target, DataCentre))
    return false;
  for (std::size_t Index = Epochs.size() - 1; Index > 0; --Index) {
    const epoch &After = Epochs[Index];
    if (Now - After.LearnedAt > Options.HandoverDelay)
      return true;
    if (!ownedThroughout(Epochs[Index - 1], After, Target, DataCentre))
      return false;
  }
  return true;
}

bool ownership::ownedThroughout(
    const epoch &Before, const epoch &After, const base::target_id &Target,
    const base::data_centre_name &DataCentre) const {
  if (!After.Change.Complete || !ownsIn(*Before.View, Target, DataCentre))
    return false;
  const member &OwnMember = *Before.View->find(Options.Self);
  const auto Weight = base::rendezvousWeight(Target.str(), Options.Self.str());
  // A member that changed more than once may have owned the target in an
  // intermediate view that this instance has not seen.
  const auto MayHaveOwned = [&](const base::instance_id &Changed) {
    if (Changed == Options.Self)
      return true;
    const member *Known = Before.View->find(Changed);
    if (Known == nullptr)
      Known = After.View->find(Changed);
    if (Known != nullptr && Known->DataCentre != DataCentre &&
        OwnMember.DataCentre == DataCentre)
      return false;
    return OwnMember.DataCentre != DataCentre ||
           base::rendezvousWeight(Target.str(), Changed.str()) >= Weight;
  };
  return std::none_of(After.Change.Changed.begin(), After.Change.Changed.end(),
                      MayHaveOwned);
}

} // namespace fulmar::directory
