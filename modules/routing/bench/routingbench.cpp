// Benchmarks of the router:
//   routing_bench --mode=compare   compares strategies in the queueing model
//   routing_bench --mode=picks     measures the cost of a pick by target count

#include "bench/queueingmodel.h"
#include "fulmar/routing/ipickstrategy.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <vector>

ABSL_FLAG(std::string, mode, "compare", "compare or picks");
ABSL_FLAG(std::size_t, requests, 100000, "requests of each model run");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the model");

namespace {

using namespace fulmar;
using namespace fulmar::routing;

struct scenario {
  std::string Name;
  model_options Options;
};

std::vector<scenario> scenarios() {
  return {
      {"steady", {}},
      {"steady, 0.8 busy", {.Load = 0.8}},
      {"one straggler", {.Straggler = true}},
      {"one fail-fast", {.FailFast = true}},
      {"straggler and fail-fast", {.Straggler = true, .FailFast = true}},
      {"20 targets of 2 slots, both",
       {.Targets = 20, .Slots = 2, .Straggler = true, .FailFast = true}},
      {"shifting load", {.RandomSlowPhases = true}},
      {"shifting, both",
       {.Straggler = true, .FailFast = true, .RandomSlowPhases = true}},
      {"1 % long requests", {.LongShare = 0.01}},
      {"20 entries, small grants",
       {.Targets = 20, .Entries = 20, .Slots = 2, .Granted = 1}},
      {"20 entries, small grants, both",
       {.Targets = 20,
        .Entries = 20,
        .Slots = 2,
        .Granted = 1,
        .Straggler = true,
        .FailFast = true}},
  };
}

void compare() {
  std::cout << std::fixed << std::setprecision(1);
  for (const scenario &Scenario : scenarios()) {
    std::cout << Scenario.Name << '\n';
    for (const std::string_view Name : strategyNames()) {
      model_options Options = Scenario.Options;
      Options.Strategy = Name;
      Options.Requests = absl::GetFlag(FLAGS_requests);
      Options.Seed = absl::GetFlag(FLAGS_seed);
      const model_result Result = queueing_model(Options).run();
      std::cout << "  " << std::setw(16) << std::left << Name << std::right
                << " p50 " << std::setw(7) << Result.P50Ms << " ms  p99 "
                << std::setw(7) << Result.P99Ms << " ms  p99.9 " << std::setw(7)
                << Result.P999Ms << " ms  failed " << std::setw(5)
                << 100 * Result.FailedShare << " %  first target "
                << std::setw(5) << 100 * Result.FirstTargetShare
                << " %  last target " << std::setw(5)
                << 100 * Result.LastTargetShare << " %\n";
    }
  }
}

double microsecondsPerPick(const std::string &Strategy, std::size_t Count) {
  constexpr int Picks = 20000;
  const base::service_name Service("registry");
  router Router({.Seed = 1});
  if (!Router.setPolicy(Service, {.Strategy = Strategy}))
    return 0;
  const base::instant Now(std::chrono::seconds(1000));
  std::vector<candidate> List;
  for (std::size_t Index = 0; Index < Count; ++Index)
    List.push_back({.Target = base::target_id("t" + std::to_string(Index)),
                    .Incarnation = "1",
                    .Granted = 4});
  Router.candidatesChanged(Service, List, Now);
  const request_profile Request = {.Service = Service,
                                   .Deadline = Now + std::chrono::seconds(10)};
  const auto Begin = std::chrono::steady_clock::now();
  for (int Pick = 0; Pick < Picks; ++Pick) {
    const auto Result = Router.acquire(Request, {}, Now);
    Router.finish(std::get<permit>(Result.Answer),
                  {.End = attempt_end::Answered, .Status = 200}, Request, Now);
  }
  const std::chrono::duration<double, std::micro> Spent =
      std::chrono::steady_clock::now() - Begin;
  return Spent.count() / Picks;
}

void measurePicks() {
  constexpr int Rounds = 5;
  std::cout << std::fixed << std::setprecision(2) << "median of " << Rounds
            << " rounds, microseconds for acquire and finish\n";
  for (const std::string_view Name : strategyNames()) {
    std::cout << "  " << std::setw(16) << std::left << Name << std::right;
    for (const std::size_t Count : {12U, 100U, 300U, 1000U}) {
      std::array<double, Rounds> Times{};
      for (double &Time : Times)
        Time = microsecondsPerPick(std::string(Name), Count);
      std::sort(Times.begin(), Times.end());
      std::cout << "  " << Count << " targets " << std::setw(7)
                << Times[Rounds / 2];
    }
    std::cout << '\n';
  }
}

} // namespace

int main(int Count, char **Arguments) {
  absl::ParseCommandLine(Count, Arguments);
  if (absl::GetFlag(FLAGS_mode) == "picks")
    measurePicks();
  else
    compare();
  return 0;
}
