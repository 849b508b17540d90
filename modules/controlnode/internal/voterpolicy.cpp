// Adds joining instances and removes voters without recent contact.

#include "fulmar/controlnode/voterpolicy.h"

#include <algorithm>

namespace fulmar::controlnode {

using consensus::quorumOf;
using consensus::survivableDiskLosses;

bool voter_policy::isSilent(const std::string &Id, base::instant Now) const {
  const auto Found = HeardAt.find(Id);
  const base::instant Last = std::max(
      LeaderSince, Found == HeardAt.end() ? LeaderSince : Found->second);
  return Now - Last > Options.DeadVoterTimeout;
}

std::size_t voter_policy::minimumVoters(std::size_t Voters) const {
  const std::size_t Losses =
      std::min(Options.ToleratedDiskLosses, survivableDiskLosses(Voters));
  // The smallest number of voters of which the rest is a majority.
  return 2 * Losses + 1;
}

std::optional<voter_change> voter_policy::changeForJoinRequest(
    const std::string &JoiningInstance, const consensus::configuration &Members,
    const std::string &Self, base::instant Now) const {
  const auto Is = [](const std::string &Id) {
    return [&Id](const consensus::member &Member) { return Member.Id == Id; };
  };
  const auto IsSilentPeer = [&](const consensus::member &Member) {
    return Member.Id != Self && isSilent(Member.Id, Now);
  };
  const auto &Voters = Members.Voters;
  const auto &Learners = Members.Learners;
  if (!Members.Formed ||
      std::any_of(Voters.begin(), Voters.end(), Is(JoiningInstance)) ||
      std::any_of(Learners.begin(), Learners.end(), Is(JoiningInstance)))
    return std::nullopt;
  // A learner has no vote yet, so its removal costs nothing. It must not become
  // a voter while it is silent.
  const auto Learner =
      std::find_if(Learners.begin(), Learners.end(), IsSilentPeer);
  if (Learner != Learners.end())
    return voter_change{voter_change::kind::Remove, Learner->Id};
  if (Voters.size() + Learners.size() < MaxVoters)
    return voter_change{voter_change::kind::Add, JoiningInstance};
  const auto Voter = std::find_if(Voters.begin(), Voters.end(), IsSilentPeer);
  if (Voter == Voters.end() || Voters.size() <= minimumVoters(Voters.size()))
    return std::nullopt;
  return voter_change{voter_change::kind::Remove, Voter->Id};
}

std::optional<std::string>
voter_policy::removalCandidate(const consensus::configuration &Members,
                               const std::string &Self, std::size_t Minimum,
                               base::instant Now) const {
  if (!Members.Formed || !Members.Learners.empty())
    return std::nullopt;
  const auto &Voters = Members.Voters;
  const auto IsSilentPeer = [&](const consensus::member &Voter) {
    return Voter.Id != Self && isSilent(Voter.Id, Now);
  };
  const auto Silent = static_cast<std::size_t>(
      std::count_if(Voters.begin(), Voters.end(), IsSilentPeer));
  const std::size_t Reachable = Voters.size() - Silent;
  // Tolerated failures: the reachable voters in excess of the quorum.
  const auto ToleratedOf = [Reachable](std::size_t Listed) {
    return Reachable - std::min(Reachable, quorumOf(Listed));
  };
  if (Silent == 0 ||
      ToleratedOf(std::max(Reachable, Minimum)) <= ToleratedOf(Voters.size()))
    return std::nullopt;
  return std::find_if(Voters.begin(), Voters.end(), IsSilentPeer)->Id;
}

std::optional<voter_change>
voter_policy::voterToRemove(const consensus::configuration &Members,
                            const std::string &Self, base::instant Now) const {
  const auto Found = removalCandidate(
      Members, Self, minimumVoters(Members.Voters.size()), Now);
  if (!Found)
    return std::nullopt;
  return voter_change{voter_change::kind::Remove, *Found};
}

std::optional<std::string>
voter_policy::voterKeptForDisks(const consensus::configuration &Members,
                                const std::string &Self,
                                base::instant Now) const {
  if (voterToRemove(Members, Self, Now))
    return std::nullopt;
  return removalCandidate(Members, Self, 1, Now);
}

} // namespace fulmar::controlnode
