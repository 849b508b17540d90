// Helpers shared by the cluster tests.

#ifndef FULMAR_CONSENSUS_TESTS_CLUSTERHELPERS_H
#define FULMAR_CONSENSUS_TESTS_CLUSTERHELPERS_H

#include "cluster.h"

namespace fulmar::consensus {

/// Ids of a cluster of three instances.
inline const std::vector<replica_id> Three = {"a", "b", "c"};

inline replica_id followerOf(cluster &Cluster) {
  const replica_id Leader = Cluster.leader();
  for (const replica_id &Id : Three) {
    if (Id != Leader)
      return Id;
  }
  return {};
}

inline replica_id remainingInstance(const replica_id &First,
                                    const replica_id &Second) {
  for (const replica_id &Id : Three) {
    if (Id != First && Id != Second)
      return Id;
  }
  return {};
}

/// Ends all faults and expects every instance to reach the same history.
inline void expectConvergence(cluster &Cluster, std::size_t Voters) {
  Cluster.BlockedLinks.clear();
  Cluster.Faults = {};
  Cluster.waitForVoters(Voters);
  Cluster.commitCommands(1);
  Cluster.runUntil([&] { return Cluster.converged(); });
}

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_TESTS_CLUSTERHELPERS_H
