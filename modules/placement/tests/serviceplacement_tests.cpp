// Tests of the order in which targets are probed, and of how targets lose and
// regain their share of requests.

#include "fulmar/placement/serviceplacement.h"
#include "fulmar/testing/property.h"

#include <algorithm>

using namespace fulmar;
using namespace fulmar::placement;
using std::chrono::milliseconds;

namespace {

base::instant at(std::int64_t Ms) { return base::instant(milliseconds(Ms)); }

fleet::target_report target(const std::string &Id,
                            const std::string &DataCentre) {
  return {.Id = Id,
          .Service = "s",
          .DataCentre = DataCentre,
          .Address = "10.0.0.1:80",
          .Slots = 2,
          .StartedAtMs = 1};
}

bool contains(const std::vector<std::string> &Ids, const std::string &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

} // namespace

namespace {

std::set<std::string> asSet(const std::vector<std::string> &Ids) {
  return {Ids.begin(), Ids.end()};
}

} // namespace

TEST_GROUP(ServicePlacement) {
  fleet_rate_limiter Cold{"e"};
  fleet_rate_limiter Announced{"e", {.ExtraSenders = 3, .DelaysFirst = true}};
  service_placement Placement{{.DataCentre = "pos", .WarmUpRate = 2, .Seed = 1},
                              {.Cold = Cold, .Announced = Announced}};

  void setup() override {
    Cold.setEntries({"e"});
    Announced.setEntries({"e"});
    Placement.setTargets({target("near-1", "pos"), target("near-2", "pos"),
                          target("far", "arima")},
                         at(0));
  }
};

TEST(ServicePlacement, localTargetsComeFirst) {
  const auto Ids = Placement.candidates({.Count = 2}, at(1));
  CHECK_EQUAL(2U, Ids.size());
  CHECK_FALSE(contains(Ids, "far"));
}

TEST(ServicePlacement, remoteTargetsFillUpOnlyWhereAllowed) {
  candidate_query Query{.Excluded = {"near-1"}, .Count = 2};
  CHECK_EQUAL(2U, Placement.candidates(Query, at(1)).size());
  Query.FillFromRemote = false;
  CHECK_EQUAL(1U, Placement.candidates(Query, at(1)).size());
  Query.Excluded = {"near-1", "near-2"};
  CHECK_TRUE(contains(Placement.candidates(Query, at(1)), "far"));
}

TEST(ServicePlacement, anEntryPrefersFewOfManyTargets) {
  std::vector<fleet::target_report> Many;
  for (int Number = 0; Number < 100; ++Number)
    Many.push_back(target("t" + std::to_string(Number), "pos"));
  std::set<std::string> ByAny;
  constexpr std::uint64_t Entries = 120;
  for (std::uint64_t Seed = 0; Seed < Entries; ++Seed) {
    service_placement Entry({.DataCentre = "pos", .Seed = Seed},
                            {.Cold = Cold, .Announced = Announced});
    Entry.setTargets(Many, at(0));
    std::set<std::string> Preferred;
    for (int Draw = 0; Draw < 200; ++Draw)
      Preferred.merge(asSet(Entry.candidates({.Count = 2}, at(1))));
    CHECK_EQUAL(PreferredTargets, Preferred.size());
    // Targets that a request has already probed are replaced by others.
    const auto More =
        Entry.candidates({.Excluded = Preferred, .Count = 4}, at(1));
    CHECK_EQUAL(4U, More.size());
    // An unreachable target is replaced by the next one in rank.
    Entry.recordUnreachable(*Preferred.begin(), at(1));
    std::set<std::string> Later;
    for (int Draw = 0; Draw < 200; ++Draw)
      Later.merge(asSet(Entry.candidates({.Count = 2}, at(2))));
    CHECK_EQUAL(PreferredTargets, Later.size());
    CHECK_FALSE(Later.contains(*Preferred.begin()));
    ByAny.merge(Preferred);
  }
  CHECK_EQUAL(Many.size(), ByAny.size());
}

TEST(ServicePlacement, anUnreachableTargetIsBackedOffAndRetried) {
  for (int Number = 0; Number < 10; ++Number)
    Placement.recordUnreachable("near-1", at(0));
  CHECK_FALSE(contains(Placement.candidates({.Count = 3}, at(100)), "near-1"));
  CHECK_TRUE(contains(Placement.candidates({.Count = 3}, at(2'000)), "near-1"));
  Placement.recordUnreachable("near-1", at(2'000));
  Placement.probeAnswered("near-1", {.Slots = 2}, at(2'010));
  CHECK_TRUE(contains(Placement.candidates({.Count = 3}, at(2'011)), "near-1"));
}

TEST(ServicePlacement, aStalledProbeExcludesTheTarget) {
  Placement.probeStarted("near-1", at(0));
  CHECK_TRUE(contains(Placement.candidates({.Count = 2}, at(5)), "near-1"));
  CHECK_FALSE(contains(Placement.candidates({.Count = 2}, at(30)), "near-1"));
  Placement.probeEnded("near-1");
  CHECK_TRUE(contains(Placement.candidates({.Count = 2}, at(31)), "near-1"));
}

TEST(ServicePlacement, coldTargetsComeLastAndAtTheirRate) {
  Placement.probeAnswered(
      "near-1", {.Slots = 2, .RemainingWarmUp = milliseconds(3'000)}, at(0));
  CHECK_FALSE(contains(Placement.candidates({.Count = 3}, at(1)), "near-1"));
  const candidate_query Short{.Count = 3, .WidenSearch = true};
  CHECK_TRUE(contains(Placement.candidates(Short, at(1)), "near-1"));
  CHECK_TRUE(Placement.admit("near-1", at(1)));
  CHECK_FALSE(Placement.admit("near-1", at(100)));
  CHECK_FALSE(contains(Placement.candidates(Short, at(100)), "near-1"));
  CHECK_TRUE(Placement.admit("near-1", at(3'001)));
  CHECK_TRUE(Placement.admit("near-1", at(3'001)));
}

TEST(ServicePlacement, aRestartedTargetIsColdAgain) {
  auto Again = target("near-1", "pos");
  Again.StartedAtMs = 2;
  Again.RemainingWarmUpMs = 3'000;
  Placement.setTargets({Again}, at(0));
  CHECK_TRUE(Placement.admit("near-1", at(1)));
  CHECK_FALSE(Placement.admit("near-1", at(2)));
}

// A restarted entry receives reports that each target made at its own start,
// long ago. It must not treat warm targets as cold, which would leave them to a
// few entries.
TEST(ServicePlacement, aReportedColdStartIsVerifiedByAProbe) {
  Cold.setEntries({"another"});
  auto Started = target("near-1", "pos");
  Started.RemainingWarmUpMs = 3'000;
  service_placement Restarted{{.DataCentre = "pos", .WarmUpRate = 2, .Seed = 1},
                              {.Cold = Cold, .Announced = Announced}};
  Restarted.setTargets({Started}, at(0));
  CHECK_TRUE(contains(Restarted.candidates({}, at(1)), "near-1"));
  CHECK_FALSE(Restarted.admit("near-1", at(1)));
  Restarted.probeAnswered("near-1", {.Slots = 2}, at(2));
  CHECK_TRUE(Restarted.admit("near-1", at(2)));
  Restarted.probeAnswered(
      "near-1", {.Slots = 2, .RemainingWarmUp = milliseconds(900)}, at(3));
  CHECK_FALSE(contains(Restarted.candidates({}, at(4)), "near-1"));
  CHECK_FALSE(Restarted.admit("near-1", at(4)));
}

// A tenth of the targets immediately fail some of their requests while their
// health checks pass; each entry sends to each of them only every few seconds.
TEST(ServicePlacement, aTargetThatFailedARequestIsBackedOff) {
  std::vector<fleet::target_report> Many;
  for (int Number = 0; Number < 8; ++Number)
    Many.push_back(target("t" + std::to_string(Number), "pos"));
  Placement.setTargets(Many, at(0));
  const candidate_query All{.Count = 8, .FillFromRemote = false};
  Placement.requestFailed("t0", at(0));
  CHECK_FALSE(contains(Placement.candidates(All, at(1'900)), "t0"));
  CHECK_TRUE(contains(Placement.candidates(All, at(2'100)), "t0"));
  // The next back-off is longer unless requests have succeeded in between.
  Placement.requestFailed("t0", at(2'100));
  CHECK_FALSE(contains(Placement.candidates(All, at(6'000)), "t0"));
  CHECK_TRUE(contains(Placement.candidates(All, at(6'200)), "t0"));
  for (int Number = 0; Number < 2; ++Number)
    Placement.requestEnded("t0", routing::attempt_quality::Good,
                           milliseconds(10), at(6'200));
  Placement.requestFailed("t0", at(6'200));
  CHECK_TRUE(contains(Placement.candidates(All, at(8'300)), "t0"));
}

// A tenth of the targets immediately refuse some of their requests although
// they report free slots.
TEST(ServicePlacement, aTargetThatRefusesWithFreeSlotsIsBackedOffForLess) {
  std::vector<fleet::target_report> Many;
  for (int Number = 0; Number < 8; ++Number)
    Many.push_back(target("t" + std::to_string(Number), "pos"));
  Placement.setTargets(Many, at(0));
  const candidate_query All{.Count = 8, .FillFromRemote = false};
  Placement.requestRefused("t0", at(0));
  CHECK_FALSE(contains(Placement.candidates(All, at(400)), "t0"));
  CHECK_TRUE(contains(Placement.candidates(All, at(600)), "t0"));
  Placement.requestRefused("t0", at(600));
  CHECK_FALSE(contains(Placement.candidates(All, at(1'500)), "t0"));
  CHECK_TRUE(contains(Placement.candidates(All, at(1'700)), "t0"));
}

// Routes whose timeout is shorter than the processing time must not make
// targets look as if they hang.
TEST(ServicePlacement, onlyRequestsFarBeyondTheirObjectiveCountAsHung) {
  CHECK_FALSE(isHung(milliseconds(400), milliseconds(600)));
  CHECK_FALSE(isHung(milliseconds(1'100), milliseconds(600)));
  CHECK_TRUE(isHung(milliseconds(1'200), milliseconds(600)));
}

// A request that fails on every target is retried repeatedly.
TEST(ServicePlacement, failuresOnAllTargetsLeaveMostInUse) {
  std::vector<fleet::target_report> Many;
  for (int Number = 0; Number < 8; ++Number)
    Many.push_back(target("t" + std::to_string(Number), "pos"));
  Placement.setTargets(Many, at(0));
  for (const auto &Target : Many)
    Placement.requestFailed(Target.Id, at(0));
  CHECK_EQUAL(6U,
              Placement.candidates({.Count = 8, .FillFromRemote = false}, at(1))
                  .size());
}

TEST(ServicePlacement, aTargetThatFailsItsRequestsLosesItsShare) {
  for (int Number = 0; Number < 40; ++Number) {
    for (const char *Id : {"near-1", "near-2", "far"}) {
      Placement.requestSent(Id);
      const bool Fails = std::string_view(Id) == "near-1";
      Placement.requestEnded(Id,
                             Fails ? routing::attempt_quality::Error
                                   : routing::attempt_quality::Good,
                             milliseconds(100), at(Number));
    }
  }
  int Chosen = 0;
  for (int Number = 0; Number < 100; ++Number)
    Chosen += contains(Placement.candidates({.Count = 2}, at(50)), "near-1");
  CHECK_TRUE(Chosen < 50);
}

TEST(ServicePlacement, targetsThatReportNoLoadAreNotProbedForLong) {
  CHECK_TRUE(Placement.reportsLoad());
  for (int Number = 0; Number < 8; ++Number)
    Placement.probeAnswered("near-1", {}, at(Number));
  CHECK_FALSE(Placement.reportsLoad());
  Placement.probeAnswered("near-1", {.Slots = 2}, at(9));
  CHECK_TRUE(Placement.reportsLoad());
}
