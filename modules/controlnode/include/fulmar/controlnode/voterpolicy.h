// Which membership change of the replicated log the leader should make: a
// newcomer takes the place of a voter that has been silent for long, and silent
// voters lose their places once the others bear more losses without them.

#ifndef FULMAR_CONTROLNODE_VOTERPOLICY_H
#define FULMAR_CONTROLNODE_VOTERPOLICY_H

#include "fulmar/base/time.h"
#include "fulmar/consensus/consensustypes.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace fulmar::controlnode {

/// Voters of the log. All control instances vote, so that whatever majority of
/// them is connected can commit. This covers the largest deployment that is
/// described, 19 instances, and as many again as may be added to it.
inline constexpr std::size_t MaxVoters = 25;

struct voter_change {
  enum class kind : std::uint8_t { Add, Remove };
  kind Kind = kind::Add;
  std::string Id;

  friend auto operator<=>(const voter_change &, const voter_change &) = default;
};

class voter_policy {
public:
  /// Longer than machines usually are frozen, cut off or restarted.
  static constexpr base::duration DefaultDeadVoterTimeout =
      std::chrono::seconds(8);

  /// Voters that are silent for longer than \p Limit count as gone.
  explicit voter_policy(base::duration Limit = DefaultDeadVoterTimeout)
      : DeadVoterTimeout(Limit) {}

  /// Something arrived from the instance.
  void recordContact(const std::string &Id, base::instant Now) {
    HeardAt[Id] = Now;
  }
  /// Starts a term: every instance counts as heard.
  void becomeLeader(base::instant Now) { LeaderSince = Now; }

  /// What to do about \p Newcomer's request.
  [[nodiscard]] std::optional<voter_change>
  changeForJoinRequest(const std::string &JoiningInstance,
                       const consensus::configuration &Members,
                       const std::string &Self, base::instant Now) const;
  /// The silent voter to remove, where the instances that are heard would bear
  /// more further losses without those that are silent.
  [[nodiscard]] std::optional<voter_change>
  voterToRemove(const consensus::configuration &Members,
                const std::string &Self, base::instant Now) const;

private:
  [[nodiscard]] bool isSilent(const std::string &Id, base::instant Now) const;

  base::duration DeadVoterTimeout;
  std::map<std::string, base::instant> HeardAt;
  base::instant LeaderSince{};
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_VOTERPOLICY_H
