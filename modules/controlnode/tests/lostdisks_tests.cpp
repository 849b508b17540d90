// Disks that are lost right after an acknowledgement, while most instances are
// away and silent voters have been removed.

#include "tests/policycluster.h"

#include <set>

using namespace fulmar;
using namespace fulmar::controlnode;
using std::chrono::seconds;

namespace {

/// Disks that a deployment of more than three instances may lose at once.
constexpr std::size_t LostDisks = 2;
/// Longer than a silent voter is kept, with time to remove several.
constexpr auto OutageTime = seconds(13);
constexpr auto RecoveryLimit = seconds(15);
/// A leader that has lost its followers leads on for longer than this.
constexpr auto LateVotersDelay = std::chrono::milliseconds(300);

struct final_fault {
  std::size_t Instances = 0;
  std::uint64_t Seed = 0;
  /// The instances that keep their disks lose power.
  bool PowerOff = false;
  /// The voters that do not run are back after all other instances.
  bool VotersReturnLast = false;
};

void stopFollowers(policy_cluster &Cluster, std::size_t Count) {
  const consensus::replica_id Leader = Cluster.Logs.leader();
  for (const consensus::replica_id &Id : Cluster.running()) {
    if (Id != Leader && Count > 0) {
      Cluster.Logs.stop(Id);
      --Count;
    }
  }
}

/// Stops followers, as many at once as a quorum bears, until three instances
/// are left or no further one can be spared.
void stopMost(policy_cluster &Cluster) {
  for (std::size_t Left = Cluster.running().size(); Left > 3;) {
    const std::size_t Quorum = consensus::quorumOf(Cluster.voters());
    const std::size_t Count = std::min(Left - 3, Left - Quorum);
    stopFollowers(Cluster, Count);
    Cluster.run(OutageTime);
    Left -= Count;
    if (Count == 0)
      return;
  }
}

void strike(policy_cluster &Cluster, const final_fault &Fault) {
  const consensus::replica_id Leader = Cluster.Logs.leader();
  const auto Voters = Cluster.Logs.status(Leader).Members.Voters;
  std::size_t Lost = 0;
  for (const consensus::replica_id &Id : Cluster.running()) {
    if (Id != Leader && Lost < LostDisks) {
      Cluster.Logs.wipeDisk(Id);
      ++Lost;
    } else if (Fault.PowerOff) {
      Cluster.Logs.stop(Id);
    }
  }
  std::set<consensus::replica_id> Late;
  for (const consensus::member &Voter : Voters) {
    if (Fault.VotersReturnLast && !Cluster.Logs.Instances[Voter.Id].Log)
      Late.insert(Voter.Id);
  }
  for (auto &[Id, Instance] : Cluster.Logs.Instances) {
    if (!Instance.Log && !Late.contains(Id))
      Cluster.Logs.start(Id);
  }
  Cluster.run(LateVotersDelay);
  for (const consensus::replica_id &Id : Late)
    Cluster.Logs.start(Id);
}

void expectRecovery(const final_fault &Fault) {
  policy_cluster Cluster(Fault.Instances, Fault.Seed);
  const auto AllVote = [&] { return Cluster.Logs.hasVoters(Fault.Instances); };
  CHECK_TRUE(Cluster.runUntil(AllVote, seconds(30)));
  stopMost(Cluster);
  CHECK_TRUE(Cluster.commitWithin(seconds(5)));
  strike(Cluster, Fault);
  CHECK_TRUE(Cluster.commitWithin(RecoveryLimit));
  // Each step checks that no history lacks an acknowledged command.
  CHECK_TRUE(Cluster.runUntil(
      [&] { return AllVote() && Cluster.Logs.converged(); }, seconds(30)));
}

} // namespace

TEST_GROUP(LostDisks){static void expectRecoveries(final_fault Fault){
    for (const std::size_t Instances
         : {5U, 11U, 12U, 19U}){for (std::uint64_t Seed = 1;
                                     Seed <= consensus::seedCount(4);
                                     ++Seed){Fault.Instances = Instances;
Fault.Seed = Seed;
expectRecovery(Fault);
}
}
}
}
;

// Guards against a cluster that an outage reduces to voters whose majority is
// lost with the disks that a deployment may lose at once.
TEST(LostDisks, allServeAgainWhenTheOthersKeptRunning) { expectRecoveries({}); }

TEST(LostDisks, allServeAgainWhenTheOthersLostPower) {
  expectRecoveries({.PowerOff = true});
}

// Guards against a leader without followers that removes a voter for an
// instance that asks to join.
TEST(LostDisks, allServeAgainWhenTheVotersAreBackLast) {
  expectRecoveries({.VotersReturnLast = true});
}

// Guards against silent voters that are kept for their disks and then block
// changes that three of eleven instances can take.
TEST(LostDisks, changesAreRefusedOnlyWhileTheKeptVotersLackAMajority) {
  for (std::uint64_t Seed = 1; Seed <= consensus::seedCount(4); ++Seed) {
    policy_cluster Cluster(11, Seed);
    CHECK_TRUE(Cluster.runUntil([&] { return Cluster.Logs.hasVoters(11); },
                                seconds(30)));
    stopMost(Cluster);
    CHECK_EQUAL(3U, Cluster.running().size());
    CHECK_EQUAL(5U, Cluster.voters());
    CHECK_TRUE(Cluster.commitWithin(seconds(5)));
    const auto Running = Cluster.running();
    stopFollowers(Cluster, 1);
    CHECK_FALSE(Cluster.commitWithin(OutageTime));
    for (const consensus::replica_id &Id : Running) {
      if (!Cluster.Logs.Instances[Id].Log)
        Cluster.Logs.start(Id);
    }
    CHECK_TRUE(Cluster.commitWithin(seconds(5)));
  }
}
