// Instances that come back with an empty disk: they count only once they were
// admitted again and hold everything.

#include "clusterhelpers.h"

using namespace fulmar;
using namespace fulmar::consensus;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(LostDisk){};

TEST(LostDisk, aSecondLossAfterTheFirstRepairLosesNothing) {
  for (std::uint64_t Seed = 1; Seed <= seeds(10); ++Seed) {
    cluster Cluster(Three, Seed, 40);
    Cluster.waitWhole(3);
    Cluster.accept(60);
    const replica_id First = followerOf(Cluster);
    Cluster.loseDisk(First);
    Cluster.accept(5);
    Cluster.start(First);
    Cluster.waitWhole(3);
    const replica_id Second = Cluster.leader();
    Cluster.loseDisk(Second);
    Cluster.accept(5);
    Cluster.start(Second);
    expectConvergence(Cluster, 3);
  }
}

TEST(LostDisk, anEmptyDiskDoesNotCountBeforeItIsReadmitted) {
  for (std::uint64_t Seed = 1; Seed <= seeds(10); ++Seed) {
    cluster Cluster(Three, Seed);
    Cluster.waitWhole(3);
    const replica_id Leader = Cluster.leader();
    const replica_id Lost = followerOf(Cluster);
    const replica_id Behind = thirdOf(Leader, Lost);
    // Only the leader and the lost disk hold the last commands.
    Cluster.isolate(Behind);
    Cluster.accept(5);
    Cluster.stop(Leader);
    Cluster.loseDisk(Lost);
    Cluster.Cut.clear();
    Cluster.start(Lost);
    // The rest may not decide without the leader's disk.
    Cluster.run(seconds(20));
    CHECK(Cluster.leader().empty());
    Cluster.start(Leader);
    expectConvergence(Cluster, 3);
  }
}

TEST(LostDisk, anEmptyDiskThatHeardTheLeaderDoesNotVoteForAShorterLog) {
  for (std::uint64_t Seed = 1; Seed <= seeds(10); ++Seed) {
    cluster Cluster(Three, Seed);
    Cluster.waitWhole(3);
    const replica_id Leader = Cluster.leader();
    const replica_id Lost = followerOf(Cluster);
    const replica_id Behind = thirdOf(Leader, Lost);
    Cluster.isolate(Behind);
    Cluster.accept(5);
    // The empty instance learns of the cluster; the leader doesn't learn that
    // the disk is lost.
    Cluster.loseDisk(Lost);
    Cluster.Cut.insert({Lost, Leader});
    Cluster.start(Lost);
    Cluster.run(milliseconds(700));
    CHECK(!Cluster.status(Lost).ClusterId.empty());
    Cluster.stop(Leader);
    Cluster.Cut.clear();
    Cluster.run(seconds(20));
    CHECK(Cluster.leader().empty());
    Cluster.start(Leader);
    expectConvergence(Cluster, 3);
  }
}

TEST(LostDisk, theInstanceThatFormedTheClusterDoesNotFormAnother) {
  for (std::uint64_t Seed = 1; Seed <= seeds(10); ++Seed) {
    cluster Cluster(Three, Seed);
    Cluster.waitWhole(3);
    Cluster.accept(5);
    const std::string ClusterId = Cluster.status("a").ClusterId;
    Cluster.loseDisk("a");
    Cluster.isolate("a");
    Cluster.start("a");
    Cluster.run(seconds(10));
    CHECK(Cluster.status("a").Role != role::Leader);
    Cluster.Cut.clear();
    expectConvergence(Cluster, 3);
    STRCMP_EQUAL(ClusterId.c_str(), Cluster.status("a").ClusterId.c_str());
  }
}
