// Tests of the pick strategies, including comparisons in the queueing model
// with the same seeds.

#include "bench/queueingmodel.h"
#include "fulmar/routing/ipickstrategy.h"
#include "fulmar/testing/property.h"

#include <array>
#include <map>

using namespace fulmar;
using namespace fulmar::routing;

namespace {

constexpr std::uint64_t SeedCount = 5;

/// Runs the model with each seed and returns the sums of the results.
model_result runAll(model_options Options, const std::string &Strategy,
                    std::size_t Requests = 6000) {
  model_result Sum;
  Options.Strategy = Strategy;
  Options.Requests = Requests;
  for (Options.Seed = 1; Options.Seed <= SeedCount; ++Options.Seed) {
    const model_result Result = queueing_model(Options).run();
    Sum.P50Ms += Result.P50Ms;
    Sum.P99Ms += Result.P99Ms;
    Sum.P999Ms += Result.P999Ms;
    Sum.FailedShare += Result.FailedShare;
    Sum.FirstTargetShare += Result.FirstTargetShare;
    Sum.LastTargetShare += Result.LastTargetShare;
  }
  return Sum;
}

std::vector<target_view> idleViews(std::size_t Count) {
  std::vector<target_view> Views;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Views.push_back({.Index = Index, .Limit = 4});
  return Views;
}

} // namespace

TEST_GROUP(Strategies){};

TEST(Strategies, adaptiveAvoidsAStragglerAndAFailFastTarget) {
  const model_options Options = {.Straggler = true, .FailFast = true};
  const model_result Adaptive = runAll(Options, "adaptive");
  const model_result RoundRobin = runAll(Options, "round_robin");
  const model_result TwoChoices = runAll(Options, "two_choices");
  CHECK(Adaptive.P99Ms <= RoundRobin.P99Ms / 3);
  CHECK(Adaptive.P99Ms <= TwoChoices.P99Ms);
  CHECK(Adaptive.FailedShare <= RoundRobin.FailedShare);
  CHECK(Adaptive.FailedShare <= TwoChoices.FailedShare);
  CHECK(Adaptive.FirstTargetShare / SeedCount < 0.01);
  CHECK(Adaptive.LastTargetShare / SeedCount < 0.01);
}

TEST(Strategies, adaptiveIsNotWorseThanTwoChoicesElsewhere) {
  /// Smaller differences are noise between seeds.
  constexpr double Noise = 1.02;
  const std::array<model_options, 3> Cases = {
      {{.Load = 0.4}, {.Load = 0.8}, {.RandomSlowPhases = true}}};
  for (const model_options &Options : Cases) {
    const model_result Adaptive = runAll(Options, "adaptive");
    const model_result TwoChoices = runAll(Options, "two_choices");
    CHECK(Adaptive.P99Ms <= TwoChoices.P99Ms * Noise);
    CHECK(Adaptive.P50Ms <= TwoChoices.P50Ms * Noise);
  }
}

TEST(Strategies, staleReportsDoNotCauseHerding) {
  const model_options Options = {
      .Targets = 20, .Entries = 20, .Slots = 2, .Granted = 1};
  constexpr std::size_t Requests = 2000;
  const model_result Adaptive = runAll(Options, "adaptive", Requests);
  const model_result TwoChoices = runAll(Options, "two_choices", Requests);
  CHECK(Adaptive.P50Ms <= TwoChoices.P50Ms * 1.05);
}

TEST(Strategies, everyPickIsOneOfTheViews) {
  fulmar::testing::checkProperty("valid picks", [](std::uint64_t Seed) {
    base::random_source Random(Seed);
    auto Views = idleViews(*rc::gen::inRange<std::size_t>(1, 30));
    for (const std::string_view Name : strategyNames()) {
      const auto Strategy = makeStrategy(Name);
      for (int Number = 0; Number < 20; ++Number)
        RC_ASSERT(Strategy->pick(Views, Random) < Views.size());
    }
  });
  CHECK(makeStrategy("none") == nullptr);
}

TEST(Strategies, roundRobinTakesEveryTargetInTurn) {
  const auto Strategy = makeStrategy("round_robin");
  base::random_source Random(1);
  const auto Views = idleViews(5);
  for (std::size_t Number = 0; Number < 20; ++Number)
    CHECK(Strategy->pick(Views, Random) == Number % 5);
}

TEST(Strategies, lowLoadReportDoesNotAttractAllRequests) {
  const auto Strategy = makeStrategy("adaptive");
  base::random_source Random(1);
  auto Views = idleViews(20);
  for (target_view &View : Views)
    View.LoadHint = View.Index == 7 ? 0 : 1;
  std::map<std::size_t, int> Picked;
  constexpr int Picks = 10000;
  for (int Number = 0; Number < Picks; ++Number)
    ++Picked[Strategy->pick(Views, Random)];
  // Three random draws include the target with a probability of 14 percent.
  CHECK(Picked[7] < Picks * 16 / 100);
  CHECK(Picked.size() == 20);
}

TEST(Strategies, ownInFlightRequestsOutweighReportedLoad) {
  const auto Strategy = makeStrategy("adaptive");
  base::random_source Random(1);
  std::vector<target_view> Views = idleViews(2);
  Views[0].InFlight = 2;
  Views[1].LoadHint = 1;
  int Picked = 0;
  for (int Number = 0; Number < 1000; ++Number)
    Picked += Strategy->pick(Views, Random) == 1 ? 1 : 0;
  CHECK(Picked > 700);
}

TEST(Strategies, slowTargetIsPickedLessOften) {
  const auto Strategy = makeStrategy("adaptive");
  base::random_source Random(1);
  auto Views = idleViews(10);
  for (target_view &View : Views)
    View.InFlight = 1;
  Views[4].Slowness = 2.5;
  constexpr int Picks = 10000;
  int Picked = 0;
  for (int Number = 0; Number < Picks; ++Number)
    Picked += Strategy->pick(Views, Random) == 4 ? 1 : 0;
  // The target is picked only if all draws hit it.
  CHECK(Picked < Picks / 100);
}
