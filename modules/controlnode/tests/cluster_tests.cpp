// Control instances with loopback sockets and real files: bootstrap, loss of
// members, restart and joining.

#include "fulmar/testing/property.h"
#include "tests/testcluster.h"

using namespace fulmar;
using namespace fulmar::controlnode;

TEST_GROUP(ControlCluster) {
  test_cluster Cluster;

  void formCluster(int Count = 3) {
    for (int Number = 0; Number < Count; ++Number)
      Cluster.start(Number);
    CHECK_TRUE(Cluster.put(0, 1));
  }
};

TEST(ControlCluster, formsAClusterThatServesThroughEveryInstance) {
  formCluster();
  for (int Number = 0; Number < 3; ++Number) {
    CHECK_TRUE(Cluster.put(Number, static_cast<std::uint64_t>(Number) + 2));
    STRCMP_EQUAL(std::to_string(Number + 2).c_str(),
                 Cluster.read((Number + 1) % 3).c_str());
  }
}

TEST(ControlCluster, instancesThatAreNotSeedsJoinAsVoters) {
  formCluster(5);
  CHECK_TRUE(Cluster.runUntil([this] { return Cluster.voters(0) == 5; }));
  CHECK_TRUE(Cluster.put(4, 2));
  STRCMP_EQUAL("2", Cluster.read(3).c_str());
}

TEST(ControlCluster, everyInstanceOfALargeDeploymentHasTheState) {
  constexpr int Count = 12;
  formCluster(Count);
  CHECK_TRUE(Cluster.runUntil([this] { return Cluster.voters(0) == Count; }));
  CHECK_TRUE(Cluster.put(11, 2));
  CHECK_TRUE(Cluster.runUntil(
      [this] { return Cluster.node(10).state().plan().version() == 2; }));
  // Two instances fail, and a data centre with three further ones.
  for (const int Number : {0, 1, 2, 5, 8})
    Cluster.stop(Number);
  CHECK_TRUE(Cluster.put(11, 3));
}

TEST(ControlCluster, acknowledgedPlanSurvivesRestartOfAllInstances) {
  formCluster();
  CHECK_TRUE(Cluster.put(1, 7));
  for (int Number = 0; Number < 3; ++Number)
    Cluster.stop(Number);
  for (int Number = 0; Number < 3; ++Number)
    Cluster.start(Number, false);
  STRCMP_EQUAL("7", Cluster.read(2).c_str());
}

TEST(ControlCluster, toleratesALostInstanceAndReadmitsItWithAnEmptyDisk) {
  formCluster();
  Cluster.stop(0);
  CHECK_TRUE(Cluster.put(1, 8));
  Cluster.wipe(0);
  Cluster.start(0, false);
  CHECK_TRUE(Cluster.runUntil([this] {
    return Cluster.node(0).state().plan().version() == 8 &&
           Cluster.listsStorageOf(0, 1);
  }));
  // The repaired member has a vote again: another loss is tolerated.
  Cluster.stop(1);
  STRCMP_EQUAL("8", Cluster.read(0).c_str());
}

TEST(ControlCluster, minorityServesNoReads) {
  formCluster();
  Cluster.stop(1);
  Cluster.stop(2);
  STRCMP_EQUAL("failed", Cluster.read(0).c_str());
}

TEST(ControlCluster, replacementAtAnotherAddressBecomesAVoter) {
  formCluster();
  Cluster.stop(2);
  Cluster.start(3, false);
  CHECK_TRUE(Cluster.runUntil(
      [this] {
        const auto Members = Cluster.node(0).status().Members;
        bool Listed = false;
        for (const auto &Voter : Members.Voters)
          Listed = Listed || Voter.Id == test_cluster::address(3);
        return Listed && Members.Voters.size() >= 3;
      },
      std::chrono::seconds(30)));
  CHECK_TRUE(Cluster.put(3, 9));
}

TEST(ControlCluster, replacedVoterIsRemovedAndCanRejoin) {
  formCluster();
  Cluster.stop(2);
  Cluster.start(3, false);
  const auto ListedAt = [this](int Number, int Other) {
    const auto Voters = Cluster.node(Other).status().Members.Voters;
    return std::any_of(Voters.begin(), Voters.end(),
                       [Number](const consensus::member &Voter) {
                         return Voter.Id == test_cluster::address(Number);
                       });
  };
  CHECK_TRUE(Cluster.runUntil(
      [&] { return ListedAt(3, 0) && !ListedAt(2, 0) && ListedAt(3, 3); }));
  // The replacement has a vote: a further loss is tolerated.
  Cluster.stop(1);
  CHECK_TRUE(Cluster.put(3, 5));
  Cluster.start(1, false);
  // The replaced instance restarts with a log in which it is still a voter.
  Cluster.start(2, false);
  CHECK_TRUE(Cluster.runUntil([&] { return ListedAt(2, 0); }));
  CHECK_TRUE(Cluster.put(2, 6));
  STRCMP_EQUAL("6", Cluster.read(3).c_str());
}

TEST(ControlCluster, transfersLeadership) {
  formCluster();
  int Leader = -1;
  for (int Number = 0; Number < 3; ++Number) {
    if (Cluster.node(Number).status().Role == consensus::role::Leader)
      Leader = Number;
  }
  CHECK_TRUE(Leader >= 0);
  bool Done = false;
  Cluster.node(Leader).transferLeadership([&Done] { Done = true; });
  CHECK_TRUE(Cluster.runUntil([&Done] { return Done; }));
  CHECK_FALSE(Cluster.node(Leader).status().Role == consensus::role::Leader);
}
