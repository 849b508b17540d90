// As many control instances as the largest described deployment has, while many
// targets join, leave and are replaced.

#include "fulmar/testing/property.h"
#include "tests/testcluster.h"

using namespace fulmar;
using namespace fulmar::controlnode;
using std::chrono::milliseconds;

namespace {

// One thread runs all instances. The sanitizer build takes about ten times as
// long, so it looks for memory errors in a smaller deployment; the time limits
// are the same.
#ifdef NDEBUG
constexpr int Instances = 19;
constexpr int TargetCount = 900;
#else
constexpr int Instances = 7;
constexpr int TargetCount = 120;
#endif
constexpr int PlanUpdates = 8;
/// A quarter of the shortest time within which an operator's command must be
/// acknowledged.
constexpr base::duration AcknowledgementLimit = milliseconds(1'000);
constexpr double LatencyQuantile = 0.99;

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
  std::vector<base::duration> Latencies;
  int Failures = 0;

  void formCluster() {
    for (int Number = 0; Number < Instances; ++Number)
      Cluster.start(Number);
    CHECK_TRUE(Cluster.put(0, 1));
    CHECK_TRUE(
        Cluster.runUntil([this] { return Cluster.voters(0) == Instances; }));
  }

  /// Proposes a command through an instance and records the latency.
  void submit(int Through, controlstate::command_body Command) {
    const base::instant StartedAt = Cluster.loop().now();
    Cluster.node(Through % Instances)
        .propose(std::move(Command), CallLimit,
                 [this, StartedAt](const auto &Reply) {
                   Failures += Reply.has_value() ? 0 : 1;
                   Latencies.push_back(Cluster.loop().now() - StartedAt);
                 });
  }

  bool awaitReplies(std::size_t Count) {
    return Cluster.runUntil([this, Count] { return Latencies.size() == Count; },
                            std::chrono::seconds(20));
  }
};

TEST(LargeCluster, everyInstanceBecomesAVoterSoonAfterTheStart) {
  const base::instant StartedAt = Cluster.loop().now();
  formCluster();
  // Targets report from the start, and an instance that is not a member can't
  // process their reports. The first load comes after eight seconds.
  CHECK_TRUE(Cluster.loop().now() - StartedAt < std::chrono::seconds(4));
  // The loss of any minority is tolerated.
  for (int Number = 0; Number < Instances / 2; ++Number)
    Cluster.stop(Number);
  CHECK_TRUE(Cluster.put(Instances - 1, 3));
  STRCMP_EQUAL("3", Cluster.read(Instances - 2).c_str());
}

TEST(LargeCluster, planUpdatesAreAcknowledgedQuicklyWhileManyTargetsChange) {
  formCluster();
  for (int Number = 0; Number < TargetCount; ++Number)
    submit(Number, controlstate::target_report_command{targetOf(Number, 1)});
  CHECK_TRUE(awaitReplies(TargetCount));
  Latencies.clear();
  // A tenth of the targets leave, a third are replaced, and operators submit
  // eight plans.
  std::size_t Sent = 0;
  for (int Number = 0; Number < TargetCount; ++Number) {
    if (Number % 10 == 0) {
      fleet::target_report Leaving = targetOf(Number, 1);
      Leaving.Phase = fleet::target_phase::Draining;
      Leaving.Sequence = 2;
      submit(Number, controlstate::target_report_command{Leaving});
      ++Sent;
    } else if (Number % 3 == 0) {
      submit(Number, controlstate::target_report_command{targetOf(Number, 2)});
      ++Sent;
    }
  }
  for (std::uint64_t Update = 0; Update < PlanUpdates; ++Update) {
    const std::uint64_t Version = 2 + Update;
    submit(static_cast<int>(Update),
           controlstate::plan_command{
               .Version = Version,
               .Plan = fleet::encodePlan({.Version = Version}),
               .Document = std::to_string(Version)});
    ++Sent;
  }
  CHECK_TRUE(awaitReplies(Sent));
  CHECK_EQUAL(0, Failures);
  std::sort(Latencies.begin(), Latencies.end());
  const auto QuantileIndex = static_cast<std::size_t>(
      LatencyQuantile * static_cast<double>(Latencies.size() - 1));
  CHECK_TRUE(Latencies[QuantileIndex] < AcknowledgementLimit);
}
