// Decides which membership change of the replicated log the leader should make.
// A joining instance replaces a voter without recent contact, and such voters
// are also removed if the others then tolerate more failures.

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

class voter_policy {
public:
  /// Longer than machines are usually paused, disconnected or restarting.
  static constexpr base::duration DefaultDeadVoterTimeout =
      std::chrono::seconds(8);

  /// Voters without contact for longer than \p Limit may be removed.
  explicit voter_policy(base::duration Limit = DefaultDeadVoterTimeout)
      : DeadVoterTimeout(Limit) {}

  /// Records that a message arrived from the instance.
  void recordContact(const std::string &Id, base::instant Now) {
    HeardAt[Id] = Now;
  }
  /// Starts a term as leader, in which every instance counts as just heard.
  void becomeLeader(base::instant Now) { LeaderSince = Now; }

  /// Returns the change to make when \p JoiningInstance asks to join, if any.
  [[nodiscard]] std::optional<voter_change>
  changeForJoinRequest(const std::string &JoiningInstance,
                       const consensus::configuration &Members,
                       const std::string &Self, base::instant Now) const;
  /// Returns the removal of a silent voter if the reachable voters would
  /// tolerate more failures without all silent ones.
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
