// Instances that restart with an empty disk: they must not vote or acknowledge
// entries until they have been added again and hold all committed entries.

#include "clusterhelpers.h"

using namespace fulmar;
using namespace fulmar::consensus;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(LostDisk){};

TEST(LostDisk, secondDiskLossAfterRepairLosesNoCommand) {
  for (std::uint64_t Seed = 1; Seed <= seedCount(10); ++Seed) {
    cluster Cluster(Three, Seed, 40);
    Cluster.waitForVoters(3);
    Cluster.commitCommands(60);
    const replica_id First = followerOf(Cluster);
    Cluster.wipeDisk(First);
    Cluster.commitCommands(5);
    Cluster.start(First);
    Cluster.waitForVoters(3);
    const replica_id Second = Cluster.leader();
    Cluster.wipeDisk(Second);
    Cluster.commitCommands(5);
    Cluster.start(Second);
    expectConvergence(Cluster, 3);
  }
}

TEST(LostDisk, emptyDiskIsNotCountedBeforeReadmission) {
  for (std::uint64_t Seed = 1; Seed <= seedCount(10); ++Seed) {
    cluster Cluster(Three, Seed);
    Cluster.waitForVoters(3);
    const replica_id Leader = Cluster.leader();
    const replica_id Lost = followerOf(Cluster);
    const replica_id Behind = remainingInstance(Leader, Lost);
    // Only the leader and the instance whose disk is lost hold the last
    // commands.
    Cluster.isolate(Behind);
    Cluster.commitCommands(5);
    Cluster.stop(Leader);
    Cluster.wipeDisk(Lost);
    Cluster.BlockedLinks.clear();
    Cluster.start(Lost);
    // No leader may be elected without the old leader, whose disk holds the
    // only copy of these commands.
    Cluster.run(seconds(20));
    CHECK(Cluster.leader().empty());
    Cluster.start(Leader);
    expectConvergence(Cluster, 3);
  }
}

TEST(LostDisk, emptyDiskThatHeardTheLeaderDoesNotElectAShorterLog) {
  for (std::uint64_t Seed = 1; Seed <= seedCount(10); ++Seed) {
    cluster Cluster(Three, Seed);
    Cluster.waitForVoters(3);
    const replica_id Leader = Cluster.leader();
    const replica_id Lost = followerOf(Cluster);
    const replica_id Behind = remainingInstance(Leader, Lost);
    Cluster.isolate(Behind);
    Cluster.commitCommands(5);
    // The empty instance joins the cluster, but its responses don't reach the
    // leader, which therefore doesn't know that the disk is lost.
    Cluster.wipeDisk(Lost);
    Cluster.BlockedLinks.insert({Lost, Leader});
    Cluster.start(Lost);
    Cluster.run(milliseconds(700));
    CHECK(!Cluster.status(Lost).ClusterId.empty());
    Cluster.stop(Leader);
    Cluster.BlockedLinks.clear();
    Cluster.run(seconds(20));
    CHECK(Cluster.leader().empty());
    Cluster.start(Leader);
    expectConvergence(Cluster, 3);
  }
}

TEST(LostDisk, bootstrapInstanceWithALostDiskDoesNotFormASecondCluster) {
  for (std::uint64_t Seed = 1; Seed <= seedCount(10); ++Seed) {
    cluster Cluster(Three, Seed);
    Cluster.waitForVoters(3);
    Cluster.commitCommands(5);
    const std::string ClusterId = Cluster.status("a").ClusterId;
    Cluster.wipeDisk("a");
    Cluster.isolate("a");
    Cluster.start("a");
    Cluster.run(seconds(10));
    CHECK(Cluster.status("a").Role != role::Leader);
    Cluster.BlockedLinks.clear();
    expectConvergence(Cluster, 3);
    STRCMP_EQUAL(ClusterId.c_str(), Cluster.status("a").ClusterId.c_str());
  }
}
