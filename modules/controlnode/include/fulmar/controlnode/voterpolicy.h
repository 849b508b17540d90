// Decides which membership change of the replicated log the leader should make.
// Joining instances are added. Voters without recent contact are removed if the
// others then tolerate more failures, but never so many that the voters survive
// fewer lost disks than the deployment tolerates.

#ifndef FULMAR_CONTROLNODE_VOTERPOLICY_H
#define FULMAR_CONTROLNODE_VOTERPOLICY_H

#include "fulmar/base/time.h"
#include "fulmar/consensus/consensustypes.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace fulmar::controlnode {

/// Maximum number of voters. All control instances vote, so that any connected
/// majority can commit. Covers the largest described deployment of 19 instances
/// and the instances that may be added to it.
inline constexpr std::size_t MaxVoters = 25;

struct voter_change {
  enum class kind : std::uint8_t { Add, Remove };
  kind Kind = kind::Add;
  std::string Id;

  friend auto operator<=>(const voter_change &, const voter_change &) = default;
};

struct voter_policy_options {
  /// Voters without contact for longer than this may be removed. Longer than
  /// machines are usually paused, disconnected or restarting.
  base::duration DeadVoterTimeout = std::chrono::seconds(8);
  /// Disks that may be lost at the same time without loss of a committed entry
  /// or of the ability to elect a leader. The default is the highest number of
  /// the described deployments.
  std::size_t ToleratedDiskLosses = 2;

  friend auto operator<=>(const voter_policy_options &,
                          const voter_policy_options &) = default;
};

class voter_policy {
public:
  explicit voter_policy(voter_policy_options Chosen = {}) : Options(Chosen) {}

  /// Records that a message arrived from the instance.
  void recordContact(const std::string &Id, base::instant Now) {
    HeardAt[Id] = Now;
  }
  /// Starts a term as leader, in which every instance counts as just heard.
  void becomeLeader(base::instant Now) { LeaderSince = Now; }

  /// Returns the change to make when \p JoiningInstance asks to join, if any.
  /// The instance is added before a silent voter is removed, so that there are
  /// never fewer voters in between.
  [[nodiscard]] std::optional<voter_change>
  changeForJoinRequest(const std::string &JoiningInstance,
                       const consensus::configuration &Members,
                       const std::string &Self, base::instant Now) const;
  /// Returns the removal of a silent voter if the reachable voters would
  /// tolerate more failures without those silent ones that may be removed.
  [[nodiscard]] std::optional<voter_change>
  voterToRemove(const consensus::configuration &Members,
                const std::string &Self, base::instant Now) const;
  /// Returns the silent voter that is kept only because the remaining voters
  /// would survive too few lost disks; empty if there is none.
  [[nodiscard]] std::optional<std::string>
  voterKeptForDisks(const consensus::configuration &Members,
                    const std::string &Self, base::instant Now) const;

private:
  [[nodiscard]] bool isSilent(const std::string &Id, base::instant Now) const;
  /// Returns the smallest number of voters to which \p Voters may be reduced.
  /// A deployment with too few instances for its tolerance keeps what it has.
  [[nodiscard]] std::size_t minimumVoters(std::size_t Voters) const;
  /// Returns the first silent voter if the reachable voters would tolerate more
  /// failures in a cluster that is reduced to \p Minimum voters at least.
  [[nodiscard]] std::optional<std::string>
  removalCandidate(const consensus::configuration &Members,
                   const std::string &Self, std::size_t Minimum,
                   base::instant Now) const;

  voter_policy_options Options;
  std::map<std::string, base::instant> HeardAt;
  base::instant LeaderSince{};
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_VOTERPOLICY_H
