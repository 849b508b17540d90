// Control instances over loopback sockets and real files: forming, losing
// members, restarting, joining.

#include "fulmar/controlnode/controlnode.h"
#include "fulmar/testing/property.h"

#include <Poco/TemporaryFile.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

using namespace fulmar;
using namespace fulmar::controlnode;
using std::chrono::milliseconds;

namespace {

constexpr auto CallLimit = std::chrono::seconds(5);
/// Short, for the tests' sake, yet longer than a newcomer takes to be added.
constexpr auto DeadVoterLimit = std::chrono::seconds(3);

/// Instances of one process on one loop; each may be stopped and started.
class test_cluster {
public:
  test_cluster() : Folder(Poco::TemporaryFile::tempName()) {}
  ~test_cluster() {
    Nodes.clear();
    std::filesystem::remove_all(Folder);
  }
  test_cluster(const test_cluster &) = delete;
  test_cluster &operator=(const test_cluster &) = delete;

  static std::string address(int Number) {
    return "127.0.0.1:" + std::to_string(18520 + Number);
  }

  void start(int Number, bool Bootstrap = true) {
    Nodes.resize(std::max<std::size_t>(Nodes.size(),
                                       static_cast<std::size_t>(Number) + 1));
    auto &Node = Nodes[static_cast<std::size_t>(Number)];
    Node = std::make_unique<control_node>(
        Loop,
        control_node_options{.LinkAddress = address(Number),
                             .DataCentre = "pos",
                             .DataFolder =
                                 Folder + "/" + std::to_string(Number),
                             .Bootstrap = Bootstrap,
                             .Seeds = {address(0), address(1), address(2)},
                             .DeadVoterLimit = DeadVoterLimit},
        Metrics);
    CHECK_TRUE(Node->start().has_value());
  }

  void stop(int Number) { Nodes[static_cast<std::size_t>(Number)].reset(); }
  void wipe(int Number) {
    std::filesystem::remove_all(Folder + "/" + std::to_string(Number));
  }
  control_node &node(int Number) {
    return *Nodes[static_cast<std::size_t>(Number)];
  }

  template <typename Condition>
  bool runUntil(Condition Done,
                base::duration Limit = std::chrono::seconds(15)) {
    const base::instant End = Loop.now() + Limit;
    while (!Done() && Loop.now() < End)
      Loop.context().run_one_for(milliseconds(10));
    return Done();
  }

  /// Puts a plan in force through instance \p Number.
  bool put(int Number, std::uint64_t Version) {
    std::optional<bool> Succeeded;
    node(Number).propose(
        controlstate::plan_command{.Version = Version,
                                   .Plan =
                                       fleet::encodePlan({.Version = Version}),
                                   .Document = std::to_string(Version)},
        CallLimit,
        [&Succeeded](const auto &Reply) { Succeeded = Reply.has_value(); });
    runUntil([&Succeeded] { return Succeeded.has_value(); });
    return Succeeded.value_or(false);
  }

  std::string read(int Number) {
    std::optional<std::string> Document;
    node(Number).readDocument(CallLimit, [&Document](const auto &Result) {
      Document = Result ? Result.value() : "failed";
    });
    runUntil([&Document] { return Document.has_value(); });
    return Document.value_or("nothing");
  }

  /// \p Other lists \p Number, with its present disk, as a voter.
  bool listsStorageOf(int Number, int Other) {
    const std::string Storage = node(Number).status().StorageId;
    const auto Voters = node(Other).status().Members.Voters;
    return std::any_of(
        Voters.begin(), Voters.end(), [&](const consensus::member &Voter) {
          return Voter.Id == address(Number) && Voter.StorageId == Storage;
        });
  }

  std::size_t voters(int Number) {
    return node(Number).status().Members.Voters.size();
  }

private:
  std::string Folder;
  eventloop::loop Loop;
  telemetry::metrics Metrics;
  std::vector<std::unique_ptr<control_node>> Nodes;
};

} // namespace

TEST_GROUP(ControlCluster) {
  test_cluster Cluster;

  void form(int Count = 3) {
    for (int Number = 0; Number < Count; ++Number)
      Cluster.start(Number);
    CHECK_TRUE(Cluster.put(0, 1));
  }
};

TEST(ControlCluster, formsAndServesThroughEveryInstance) {
  form();
  for (int Number = 0; Number < 3; ++Number) {
    CHECK_TRUE(Cluster.put(Number, static_cast<std::uint64_t>(Number) + 2));
    STRCMP_EQUAL(std::to_string(Number + 2).c_str(),
                 Cluster.read((Number + 1) % 3).c_str());
  }
}

TEST(ControlCluster, instancesThatAreNoSeedsJoinAsVoters) {
  form(5);
  CHECK_TRUE(Cluster.runUntil([this] { return Cluster.voters(0) == 5; }));
  CHECK_TRUE(Cluster.put(4, 2));
  STRCMP_EQUAL("2", Cluster.read(3).c_str());
}

TEST(ControlCluster, everyInstanceOfALargeDeploymentHoldsACopy) {
  constexpr int Count = 12;
  form(Count);
  CHECK_TRUE(Cluster.runUntil([this] { return Cluster.voters(0) == Count; }));
  CHECK_TRUE(Cluster.put(11, 2));
  CHECK_TRUE(Cluster.runUntil(
      [this] { return Cluster.node(10).state().plan().version() == 2; }));
  // The loss of two and of a data centre with three of them.
  for (const int Number : {0, 1, 2, 5, 8})
    Cluster.stop(Number);
  CHECK_TRUE(Cluster.put(11, 3));
}

TEST(ControlCluster, keepsWhatItAcknowledgedWhenAllRestart) {
  form();
  CHECK_TRUE(Cluster.put(1, 7));
  for (int Number = 0; Number < 3; ++Number)
    Cluster.stop(Number);
  for (int Number = 0; Number < 3; ++Number)
    Cluster.start(Number, false);
  STRCMP_EQUAL("7", Cluster.read(2).c_str());
}

TEST(ControlCluster, goesOnWithoutOneAndTakesItBackWithAnEmptyDisk) {
  form();
  Cluster.stop(0);
  CHECK_TRUE(Cluster.put(1, 8));
  Cluster.wipe(0);
  Cluster.start(0, false);
  CHECK_TRUE(Cluster.runUntil([this] {
    return Cluster.node(0).state().plan().version() == 8 &&
           Cluster.listsStorageOf(0, 1);
  }));
  // The repaired member counts: the loss of another one is borne.
  Cluster.stop(1);
  STRCMP_EQUAL("8", Cluster.read(0).c_str());
}

TEST(ControlCluster, aMinorityAnswersNoRead) {
  form();
  Cluster.stop(1);
  Cluster.stop(2);
  STRCMP_EQUAL("failed", Cluster.read(0).c_str());
}

TEST(ControlCluster, aReplacementAtAnotherAddressBecomesAVoter) {
  form();
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

TEST(ControlCluster, aReplacedVoterLosesItsPlaceAndGetsOneBack) {
  form();
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
  // The replacement counts: a further loss is borne.
  Cluster.stop(1);
  CHECK_TRUE(Cluster.put(3, 5));
  Cluster.start(1, false);
  // The one that was replaced still believes that it has a vote.
  Cluster.start(2, false);
  CHECK_TRUE(Cluster.runUntil([&] { return ListedAt(2, 0); }));
  CHECK_TRUE(Cluster.put(2, 6));
  STRCMP_EQUAL("6", Cluster.read(3).c_str());
}

TEST(ControlCluster, handsLeadershipOver) {
  form();
  int Leader = -1;
  for (int Number = 0; Number < 3; ++Number) {
    if (Cluster.node(Number).status().Role == consensus::role::Leader)
      Leader = Number;
  }
  CHECK_TRUE(Leader >= 0);
  bool Done = false;
  Cluster.node(Leader).handOver([&Done] { Done = true; });
  CHECK_TRUE(Cluster.runUntil([&Done] { return Done; }));
  CHECK_FALSE(Cluster.node(Leader).status().Role == consensus::role::Leader);
}
