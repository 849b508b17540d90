// Tests of plan validation, route lookup and the order of target reports.

#include "fulmar/fleet/routetable.h"
#include "fulmar/fleet/routingplan.h"
#include "fulmar/fleet/targetreport.h"
#include "fulmar/testing/property.h"

using namespace fulmar;
using namespace fulmar::fleet;

namespace {

route routeTo(const std::string &Prefix, const std::string &Service) {
  return {.Name = "r" + Prefix,
          .Host = "a.example",
          .PathPrefix = Prefix,
          .Shares = {{.Service = Service}},
          .TimeoutMs = 1'000};
}

routing_plan validPlan() {
  return {.Version = 3,
          .Routes = {routeTo("/a/", "s"), routeTo("/a/b/", "t")},
          .Services = {{.Name = "s", .HealthPath = "/h"},
                       {.Name = "t", .HealthPath = "/h"}}};
}

bool isValid(const routing_plan &Plan) { return checkPlan(Plan).has_value(); }

} // namespace

TEST_GROUP(RoutingPlan){};

TEST(RoutingPlan, aValidPlanIsAccepted) { CHECK_TRUE(isValid(validPlan())); }

TEST(RoutingPlan, eachInvalidPlanIsRejected) {
  using mutation = void (*)(routing_plan &);
  const mutation Mutations[] = {
      [](routing_plan &Plan) { Plan.Routes[0].Host.clear(); },
      [](routing_plan &Plan) { Plan.Routes[0].TimeoutMs = 0; },
      [](routing_plan &Plan) { Plan.Routes[0].TimeoutMs = 600'001; },
      [](routing_plan &Plan) { Plan.Routes[0].Shares[0].Service = "u"; },
      [](routing_plan &Plan) { Plan.Routes[0].Shares[0].Weight = 0; },
      [](routing_plan &Plan) { Plan.Routes[0].Shares[0].Weight = -1; },
      [](routing_plan &Plan) { Plan.Routes[0].PathPrefix = "/a"; },
      [](routing_plan &Plan) { Plan.Routes[0].Attempts = 0; },
      [](routing_plan &Plan) { Plan.Routes[1].PathPrefix = "/a/"; },
      [](routing_plan &Plan) { Plan.Services[1].Name = "s"; },
  };
  for (const mutation Mutate : Mutations) {
    routing_plan Plan = validPlan();
    Mutate(Plan);
    CHECK_FALSE(isValid(Plan));
  }
}

TEST(RoutingPlan, encodingRoundTrips) {
  const auto Decoded = decodePlan(encodePlan(validPlan()));
  CHECK_TRUE(Decoded.has_value());
  CHECK_TRUE(Decoded.value() == validPlan());
  CHECK_FALSE(decodePlan("garbage").has_value());
}

TEST(RoutingPlan, theLongestPrefixOfTheHostWins) {
  const route_table Table(std::make_shared<const routing_plan>(validPlan()));
  STRCMP_EQUAL("r/a/b/", Table.find("A.example:80", "/a/b/c")->Name.c_str());
  STRCMP_EQUAL("r/a/", Table.find("a.example", "/a/bc")->Name.c_str());
  CHECK_TRUE(Table.find("a.example", "/b/") == nullptr);
  CHECK_TRUE(Table.find("b.example", "/a/") == nullptr);
}

TEST_GROUP(TargetReport){};

TEST(TargetReport, ordersByStartThenSequence) {
  const target_report Held{.Id = "t", .StartedAtMs = 100, .Sequence = 5};
  target_report Report = Held;
  CHECK_FALSE(isNewer(Report, Held));
  Report.Sequence = 4;
  CHECK_FALSE(isNewer(Report, Held));
  Report.Sequence = 6;
  CHECK_TRUE(isNewer(Report, Held));
  // The sequence begins again with a new run.
  Report = {.Id = "t", .StartedAtMs = 101, .Sequence = 1};
  CHECK_TRUE(isNewer(Report, Held));
  Report = {.Id = "t", .StartedAtMs = 99, .Sequence = 9};
  CHECK_FALSE(isNewer(Report, Held));
}

TEST(TargetReport, aRunThatHasLeftDoesNotReturn) {
  const target_report Held{.Id = "t",
                           .Phase = target_phase::Left,
                           .StartedAtMs = 100,
                           .Sequence = 5};
  CHECK_FALSE(isNewer({.Id = "t", .StartedAtMs = 100, .Sequence = 6}, Held));
  CHECK_TRUE(isNewer({.Id = "t", .StartedAtMs = 101, .Sequence = 1}, Held));
}

TEST(TargetReport, countersAloneAreNoSignificantUpdate) {
  const target_report Held{.Id = "t", .Sequence = 5, .RemainingWarmUpMs = 900};
  target_report Report = Held;
  Report.Sequence = 9;
  Report.RemainingWarmUpMs = 100;
  CHECK_FALSE(isSignificantUpdate(Report, Held));
  Report.RemainingWarmUpMs = 3'000;
  CHECK_TRUE(isSignificantUpdate(Report, Held));
  Report = Held;
  Report.Phase = target_phase::Draining;
  CHECK_TRUE(isSignificantUpdate(Report, Held));
}
