// Which membership change of the replicated log the leader should make when an
// instance without a place asks for one: a newcomer takes the place of a voter
// that has been silent for long, and no place is given up otherwise.

#ifndef FULMAR_CONTROLNODE_VOTERKEEPER_H
#define FULMAR_CONTROLNODE_VOTERKEEPER_H

#include "fulmar/base/time.h"
#include "fulmar/consensus/consensustypes.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace fulmar::controlnode {

/// Voters of the log; more would slow every commit down and bear no further
/// loss that deployments ask for.
inline constexpr std::size_t MaxVoters = 5;

struct voter_change {
  enum class kind : std::uint8_t { Add, Remove };
  kind Kind = kind::Add;
  std::string Id;

  friend auto operator<=>(const voter_change &, const voter_change &) = default;
};

class voter_keeper {
public:
  /// Longer than machines usually are frozen, cut off or restarted.
  static constexpr base::duration DeadVoterLimit = std::chrono::seconds(8);

  /// Something arrived from the instance.
  void heard(const std::string &Id, base::instant Now) { HeardAt[Id] = Now; }
  /// Starts a term: every instance counts as heard.
  void becomeLeader(base::instant Now) { LeaderSince = Now; }

  /// What to do about \p Newcomer's request.
  [[nodiscard]] std::optional<voter_change>
  onJoinRequest(const std::string &Newcomer,
                const consensus::configuration &Members,
                const std::string &Self, base::instant Now) const;

private:
  [[nodiscard]] bool isSilent(const std::string &Id, base::instant Now) const;

  std::map<std::string, base::instant> HeardAt;
  base::instant LeaderSince{};
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_VOTERKEEPER_H
