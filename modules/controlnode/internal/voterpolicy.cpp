// Adds joining instances and removes voters without recent contact.

#include "fulmar/controlnode/voterpolicy.h"

#include <algorithm>

namespace fulmar::controlnode {

bool voter_policy::isSilent(const std::string &Id, base::instant Now) const {
  const auto Found = HeardAt.find(Id);
  const base::instant Last = std::max(
      LeaderSince, Found == HeardAt.end() ? LeaderSince : Found->second);
  return Now - Last > DeadVoterTimeout;
}

std::optional<voter_change> voter_policy::changeForJoinRequest(
    const std::string &JoiningInstance, const consensus::configuration &Members,
    const std::string &Self, base::instant Now) const {
  const auto Is = [](const std::string &Id) {
    return [&Id](const consensus::member &Member) { return Member.Id == Id; };
  };
  const auto &Voters = Members.Voters;
  const auto &Learners = Members.Learners;
  if (!Members.Formed ||
      std::any_of(Voters.begin(), Voters.end(), Is(JoiningInstance)) ||
      std::any_of(Learners.begin(), Learners.end(), Is(JoiningInstance)))
    return std::nullopt;
  // Check learners too, because they are about to become voters.
  for (const auto *Held : {&Learners, &Voters}) {
    for (const consensus::member &Member : *Held) {
      if (Member.Id != Self && isSilent(Member.Id, Now))
        return voter_change{voter_change::kind::Remove, Member.Id};
    }
  }
  if (Voters.size() + Learners.size() >= MaxVoters)
    return std::nullopt;
  return voter_change{voter_change::kind::Add, JoiningInstance};
}

std::optional<voter_change>
voter_policy::voterToRemove(const consensus::configuration &Members,
                            const std::string &Self, base::instant Now) const {
  if (!Members.Formed || !Members.Learners.empty())
    return std::nullopt;
  const auto &Voters = Members.Voters;
  const auto IsSilentPeer = [&](const consensus::member &Voter) {
    return Voter.Id != Self && isSilent(Voter.Id, Now);
  };
  const auto Silent = static_cast<std::size_t>(
      std::count_if(Voters.begin(), Voters.end(), IsSilentPeer));
  const std::size_t Reachable = Voters.size() - Silent;
  const auto QuorumOf = [](std::size_t Listed) { return Listed / 2 + 1; };
  // Tolerated failures: the reachable voters in excess of the quorum.
  const std::size_t ToleratedWithout = Reachable - QuorumOf(Reachable);
  const std::size_t ToleratedNow =
      Reachable - std::min(Reachable, QuorumOf(Voters.size()));
  if (Silent == 0 || ToleratedWithout <= ToleratedNow)
    return std::nullopt;
  const auto Found = std::find_if(Voters.begin(), Voters.end(), IsSilentPeer);
  return voter_change{voter_change::kind::Remove, Found->Id};
}

} // namespace fulmar::controlnode
