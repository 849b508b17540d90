// As many control instances as the largest described deployment has, with many
// targets that come and go at once.

#include "fulmar/testing/property.h"
#include "tests/testcluster.h"

using namespace fulmar;
using namespace fulmar::controlnode;
using std::chrono::milliseconds;

namespace {

// One thread does the work of all instances. The sanitizer build takes some ten
// times as long for it and looks for faults of memory in a smaller deployment;
// the limits of time are the same.
#ifdef NDEBUG
constexpr int Instances = 19;
constexpr int TargetCount = 900;
#else
constexpr int Instances = 7;
constexpr int TargetCount = 120;
#endif
constexpr int Orders = 8;
/// A quarter of the shortest time in which an order must be acknowledged.
constexpr base::duration AcknowledgementLimit = milliseconds(1'000);
constexpr double WantedQuantile = 0.99;

fleet::target_report targetOf(int Number, std::int64_t StartedAtMs) {
  return {.Id = "target-" + std::to_string(Number),
          .Service = "s",
          .DataCentre = "pos",
          .Address = "10.0." + std::to_string(Number / 250) + "." +
                     std::to_string(Number % 250) + ":80",
          .Software = "v1",
          .Slots = 2,
          .StartedAtMs = StartedAtMs,
          .Sequence = 1};
}

} // namespace

TEST_GROUP(LargeCluster) {
  test_cluster Cluster;
  std::vector<base::duration> Times;
  int Failures = 0;

  void form() {
    for (int Number = 0; Number < Instances; ++Number)
      Cluster.start(Number);
    CHECK_TRUE(Cluster.put(0, 1));
    CHECK_TRUE(
        Cluster.runUntil([this] { return Cluster.voters(0) == Instances; }));
  }

  /// Sends a command through an instance and notes how long it takes.
  void order(int Through, controlstate::command_body Command) {
    const base::instant Begun = Cluster.loop().now();
    Cluster.node(Through % Instances)
        .propose(std::move(Command), CallLimit,
                 [this, Begun](const auto &Reply) {
                   Failures += Reply.has_value() ? 0 : 1;
                   Times.push_back(Cluster.loop().now() - Begun);
                 });
  }

  bool awaitOrders(std::size_t Count) {
    return Cluster.runUntil([this, Count] { return Times.size() == Count; },
                            std::chrono::seconds(20));
  }
};

TEST(LargeCluster, everyInstanceVotesSoonAfterTheStart) {
  const base::instant Begun = Cluster.loop().now();
  form();
  // Targets report from the start on; an instance without a place can't take
  // their reports. The first load comes after eight seconds.
  CHECK_TRUE(Cluster.loop().now() - Begun < std::chrono::seconds(4));
  // Any minority may be lost.
  for (int Number = 0; Number < Instances / 2; ++Number)
    Cluster.stop(Number);
  CHECK_TRUE(Cluster.put(Instances - 1, 3));
  STRCMP_EQUAL("3", Cluster.read(Instances - 2).c_str());
}

TEST(LargeCluster, ordersAreAcknowledgedSoonWhileManyTargetsChange) {
  form();
  for (int Number = 0; Number < TargetCount; ++Number)
    order(Number, controlstate::target_report_command{targetOf(Number, 1)});
  CHECK_TRUE(awaitOrders(TargetCount));
  Times.clear();
  // A tenth leaves, a third is replaced, and operators send eight plans.
  std::size_t Sent = 0;
  for (int Number = 0; Number < TargetCount; ++Number) {
    if (Number % 10 == 0) {
      fleet::target_report Leaving = targetOf(Number, 1);
      Leaving.Phase = fleet::target_phase::Draining;
      Leaving.Sequence = 2;
      order(Number, controlstate::target_report_command{Leaving});
      ++Sent;
    } else if (Number % 3 == 0) {
      order(Number, controlstate::target_report_command{targetOf(Number, 2)});
      ++Sent;
    }
  }
  for (std::uint64_t Order = 0; Order < Orders; ++Order) {
    const std::uint64_t Version = 2 + Order;
    order(static_cast<int>(Order),
          controlstate::plan_command{
              .Version = Version,
              .Plan = fleet::encodePlan({.Version = Version}),
              .Document = std::to_string(Version)});
    ++Sent;
  }
  CHECK_TRUE(awaitOrders(Sent));
  CHECK_EQUAL(0, Failures);
  std::sort(Times.begin(), Times.end());
  const auto Place = static_cast<std::size_t>(
      WantedQuantile * static_cast<double>(Times.size() - 1));
  CHECK_TRUE(Times[Place] < AcknowledgementLimit);
}
