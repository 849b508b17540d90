// Replicated logs on a virtual clock whose leaders change the voters as the
// voter policy decides, with the intervals of a control instance.

#ifndef FULMAR_CONTROLNODE_TESTS_POLICYCLUSTER_H
#define FULMAR_CONTROLNODE_TESTS_POLICYCLUSTER_H

#include "../../consensus/tests/cluster.h"

#include "fulmar/controlnode/voterpolicy.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmar::controlnode {

class policy_cluster {
public:
  /// Starts \p Count instances, of which the first three form the cluster.
  policy_cluster(std::size_t Count, std::uint64_t Seed,
                 voter_policy Chosen = voter_policy())
      : Logs({idOf(0), idOf(1), idOf(2)}, Seed), Initial(std::move(Chosen)) {
    for (std::size_t Number = 3; Number < Count; ++Number)
      Logs.start(idOf(Number));
  }

  consensus::cluster Logs;

  void run(base::duration Time) {
    runUntil([] { return false; }, Time);
  }

  /// Runs until \p Reached holds; returns false if that takes longer than
  /// \p Limit.
  template <typename Condition>
  bool runUntil(Condition Reached, base::duration Limit) {
    for (base::duration Passed{}; Passed < Limit;
         Passed += consensus::cluster::Step) {
      if (Reached())
        return true;
      Logs.runStep();
      Now += consensus::cluster::Step;
      if (++Steps % StepsPerJoinRequest == 0)
        changeVoters();
    }
    return Reached();
  }

  /// Proposes a command to the leader until one is acknowledged.
  bool commitWithin(base::duration Limit) {
    std::set<std::string> Proposed;
    return runUntil(
        [&] {
          const consensus::replica_id Leader = Logs.leader();
          if (!Leader.empty()) {
            if (const auto Command = Logs.propose(Leader))
              Proposed.insert(*Command);
          }
          return std::any_of(Proposed.begin(), Proposed.end(),
                             [this](const std::string &Command) {
                               return Logs.Acknowledged.contains(Command);
                             });
        },
        Limit);
  }

  std::vector<consensus::replica_id> running() {
    std::vector<consensus::replica_id> Ids;
    for (const auto &[Id, Instance] : Logs.Instances) {
      if (Instance.Log)
        Ids.push_back(Id);
    }
    return Ids;
  }

  std::size_t voters() {
    return Logs.status(Logs.leader()).Members.Voters.size();
  }

private:
  static constexpr int StepsPerJoinRequest = 10;
  static constexpr int StepsPerMaintenance = 50;

  static consensus::replica_id idOf(std::size_t Number) {
    return std::string(1, static_cast<char>('a' + Number));
  }

  void changeVoters() {
    for (const consensus::replica_id &Id : running()) {
      if (Logs.status(Id).Role != consensus::role::Leader) {
        Policies.erase(Id);
        continue;
      }
      const auto [Held, New] = Policies.try_emplace(Id, Initial);
      if (New)
        Held->second.becomeLeader(Now);
      lead(Id, Held->second);
    }
  }

  void lead(const consensus::replica_id &Leader, voter_policy &Policy) {
    for (const consensus::replica_id &Id : running()) {
      Policy.recordContact(Id, Now);
      apply(Leader, Policy.changeForJoinRequest(Id, Logs.status(Leader).Members,
                                                Leader, Now));
    }
    if (Steps % StepsPerMaintenance == 0)
      apply(Leader,
            Policy.voterToRemove(Logs.status(Leader).Members, Leader, Now));
  }

  /// A change that the log refuses is decided again later.
  void apply(const consensus::replica_id &Leader,
             const std::optional<voter_change> &Change) {
    if (!Change)
      return;
    consensus::cluster::instance &Instance = Logs.Instances[Leader];
    if (Change->Kind == voter_change::kind::Add)
      (void)Instance.Log->addVoter(Change->Id, Logs.clockOf(Instance));
    else
      (void)Instance.Log->removeVoter(Change->Id, Logs.clockOf(Instance));
  }

  voter_policy Initial;
  /// Policies of the instances that lead, each since it was elected.
  std::map<consensus::replica_id, voter_policy> Policies;
  base::instant Now{};
  int Steps = 0;
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_TESTS_POLICYCLUSTER_H
