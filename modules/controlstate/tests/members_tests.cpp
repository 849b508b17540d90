// Tests of members, their claims and crash reports.

#include "tests/statefixture.h"

#include "fulmar/claims/holder.h"
#include "fulmar/controlstate/commandpacking.h"
#include "fulmar/controlstate/jsonconversion.h"
#include "fulmar/testing/property.h"

using namespace fulmar;
using namespace fulmar::controlstate;

namespace {

std::string fingerprint(int Number) { return "f" + std::to_string(Number); }

crash_rules rules() {
  return {.WindowMs = 1000, .QuarantineMs = 5000, .SickTargetRequests = 4};
}

} // namespace

TEST_GROUP(Members) {
  state_fixture Fixture;

  std::uint64_t join(const std::string &Incarnation) {
    return std::get<member_reply>(
               Fixture.run(member_report_command{
                   {.Id = "e1", .Incarnation = Incarnation}}))
        .Epoch;
  }

  reply claim(const std::string &Incarnation, std::uint64_t Count) {
    return Fixture.run(claim_command{
        {.Service = base::service_name("s"),
         .Key = "k",
         .Holder = claims::makeHolder({"e1", Incarnation, Count})}});
  }

  static claims::claim_state stateOf(const reply &Reply) {
    return std::get<claim_reply>(Reply).Answer.State;
  }

  bool published() {
    return Fixture.State.published().value("member/e1").has_value();
  }
};

TEST(Members, repeatedReportHasNoEffect) {
  const std::uint64_t Epoch = join("1");
  const auto Serial = Fixture.State.published().latest();
  LONGS_EQUAL(Epoch, join("1"));
  LONGS_EQUAL(Serial, Fixture.State.published().latest());
}

TEST(Members, ignoresExpiryOfEarlierIncarnation) {
  join("1");
  join("2");
  Fixture.run(member_expired_command{.Id = "e1", .Incarnation = "1"});
  CHECK(published());
  Fixture.run(member_expired_command{.Id = "e1", .Incarnation = "2"});
  CHECK(!published());
}

TEST(Members, onlyRegisteredMembersCanClaim) {
  CHECK(std::get<error_reply>(claim("1", 1)).Error.Kind ==
        base::error_kind::StaleKnowledge);
  join("1");
  CHECK(stateOf(claim("1", 1)) == claims::claim_state::Granted);
  CHECK(std::get<error_reply>(Fixture.run(claim_command{})).Error.Kind ==
        base::error_kind::BadRequest);
}

TEST(Members, claimsOfExpiredMemberBecomeUnknown) {
  join("1");
  claim("1", 1);
  CHECK(stateOf(claim("1", 2)) == claims::claim_state::InProgress);
  Fixture.run(member_expired_command{.Id = "e1", .Incarnation = "1"});
  join("2");
  CHECK(stateOf(claim("2", 1)) == claims::claim_state::OutcomeUnknown);
}

TEST(Members, claimsBecomeUnknownOnRestartWithoutExpiry) {
  join("1");
  claim("1", 1);
  join("2");
  CHECK(stateOf(claim("2", 1)) == claims::claim_state::OutcomeUnknown);
}

TEST_GROUP(Crashes) {
  crash_table Table;

  crash_reply report(const std::string &Request, const std::string &Target,
                     const std::string &Incarnation = "1",
                     std::int64_t NowMs = 0) {
    return Table.report({Request, Target, Incarnation}, NowMs, rules());
  }
};

TEST(Crashes, secondCrashQuarantinesRequest) {
  CHECK(!report("f", "t1").Quarantined);
  CHECK(!report("f", "t1").Quarantined);
  const crash_reply Second = report("f", "t2");
  CHECK(Second.Quarantined);
  LONGS_EQUAL(2, Second.Crashes);
  Table.advance(4999, rules());
  LONGS_EQUAL(1, Table.quarantines().size());
  Table.advance(5000, rules());
  LONGS_EQUAL(0, Table.quarantines().size());
}

// Guards against blaming a request for a power failure: half of the targets go
// down while they process it, but the others answer it.
TEST(Crashes, answerDropsEarlierCrashesOnly) {
  report("f", "t1", "1", 100);
  CHECK(report("f", "t2", "1", 200).Quarantined);
  Table.recordAnswer("f", 100 - MaxCrashReportDelayMs - 1);
  LONGS_EQUAL(1, Table.quarantines().size());
  Table.recordAnswer("f", 100 - MaxCrashReportDelayMs);
  LONGS_EQUAL(0, Table.quarantines().size());
  CHECK(report("f", "t3", "1", 300).Quarantined);
  Table.recordAnswer("f", 300);
  CHECK(!report("f", "t4", "1", 400).Quarantined);
}

// Guards against a caller that repeats a crashing request for hours: it must
// not crash two more targets after each quarantine.
TEST(Crashes, repeatedQuarantineDoublesAfterOneCrash) {
  report("f", "t1");
  report("f", "t2");
  std::int64_t Now = 0;
  std::int64_t Time = rules().QuarantineMs;
  for (int Term = 2; Term < 6; ++Term) {
    Now += Time;
    Table.advance(Now, rules());
    LONGS_EQUAL(0, Table.quarantines().size());
    const std::string Run = std::to_string(Term);
    CHECK(report("f", "t1", Run, Now).Quarantined);
    Time *= 2;
    Table.advance(Now + Time - 1, rules());
    LONGS_EQUAL(1, Table.quarantines().size());
  }
}

TEST(Crashes, forgetsPastQuarantineAfterOneDay) {
  constexpr std::int64_t DayMs = 86'400'000;
  report("f", "t1");
  report("f", "t2");
  Table.advance(rules().QuarantineMs, rules());
  const std::int64_t Later = rules().QuarantineMs + DayMs;
  CHECK(!report("f", "t1", "2", Later).Quarantined);
}

TEST(Crashes, decodesLegacyTable) {
  using earlier = std::tuple<std::deque<int>, std::map<std::string, int>>;
  const std::string Encoded = claims::packValue(earlier({}, {{"f", 5'000}}));
  CHECK(Table.decode(Encoded).has_value());
  LONGS_EQUAL(1, Table.quarantines().size());
  crash_table Copy;
  CHECK(Copy.decode(Table.encode()).has_value());
  LONGS_EQUAL(1, Copy.quarantines().size());
}

TEST(Crashes, countsRestartedTargetSeparately) {
  report("f", "t1", "1");
  CHECK(report("f", "t1", "2").Quarantined);
}

TEST(Crashes, ignoresCrashesOutsideWindow) {
  report("f", "t1");
  CHECK(!report("f", "t2", "1", 1000).Quarantined);
}

TEST(Crashes, sickTargetsDoNotCauseQuarantines) {
  testing::checkProperty("sick targets", [] {
    crash_table Reports;
    const int SickTargets = *rc::gen::inRange(1, 4);
    const int Requests = *rc::gen::inRange(4, 30);
    // Every request fails on every sick target, in random order.
    std::vector<std::pair<int, int>> Failures;
    for (int Target = 0; Target < SickTargets; ++Target) {
      for (int Request = 0; Request < Requests; ++Request)
        Failures.emplace_back(Target, Request);
    }
    const auto Keys = *rc::gen::container<std::vector<int>>(
        Failures.size(), rc::gen::inRange(0, 1'000'000));
    std::map<int, std::pair<int, int>> Shuffled;
    for (std::size_t Place = 0; Place < Failures.size(); ++Place)
      Shuffled[Keys[Place] * 1000 + static_cast<int>(Place)] = Failures[Place];
    int Run = 0;
    for (const auto &[Order, Failure] : Shuffled)
      Reports.report({fingerprint(Failure.second),
                      "sick" + std::to_string(Failure.first),
                      std::to_string(++Run)},
                     0, rules());
    RC_ASSERT(Reports.quarantines().empty());
    // A request that also crashes healthy targets is still quarantined.
    Reports.report({fingerprint(0), "sound1", "1"}, 0, rules());
    RC_ASSERT(Reports.report({fingerprint(0), "sound2", "1"}, 0, rules())
                  .Quarantined);
  });
}

// Guards against mistaking a target for a sick one because several concurrent
// requests fail in the same crash.
TEST(Crashes, concurrentRequestsDoNotExcuseCrashingRequest) {
  constexpr int Neighbours = 8;
  int Innocent = 1;
  for (const char *Target : {"t1", "t2", "t3"}) {
    for (int Number = 0; Number < Neighbours; ++Number)
      CHECK(!report(fingerprint(Innocent++), Target).Quarantined);
    report(fingerprint(0), Target);
    for (int Number = 0; Number < Neighbours; ++Number)
      CHECK(!report(fingerprint(Innocent++), Target).Quarantined);
  }
  CHECK(report(fingerprint(0), "t3").Quarantined);
}

// Guards against mistaking a target for a sick one when two requests crash it
// in turns: a service with few targets, which keep their ids on restart.
TEST(Crashes, alternatingRequestsAreBothQuarantined) {
  bool Quarantined[2] = {};
  for (int Run = 0; Run < 10; ++Run)
    Quarantined[Run % 2] =
        report(fingerprint(Run % 2), "t1", std::to_string(Run)).Quarantined;
  CHECK(Quarantined[0]);
  CHECK(Quarantined[1]);
}

TEST(Crashes, publishesAndWithdrawsQuarantine) {
  state_fixture Fixture;
  const auto Published = [&](int Number) {
    return Fixture.State.published()
        .value("quarantine/" + fingerprint(Number))
        .has_value();
  };
  for (const char *Target : {"t1", "t2"})
    Fixture.run(crash_command{fingerprint(0), Target, "1"});
  CHECK(Published(0));
  for (int Number = 1; Number < 4; ++Number)
    Fixture.run(
        crash_command{fingerprint(Number), "t1", std::to_string(Number + 1)});
  CHECK(!Published(0));
}

TEST_GROUP(MemberReports){};

TEST(MemberReports, regionSurvivesEncoding) {
  const member_report Report{.Id = "entry-1",
                             .Incarnation = "1",
                             .DataCentre = "pos",
                             .Region = "trinidad",
                             .Address = "127.0.0.1:1",
                             .RpcAddress = "127.0.0.1:2"};
  CHECK(memberFromJson(toJson(Report)).value() == Report);
  const command Join{.WallMs = 1, .Body = member_report_command{Report}};
  CHECK(decodeCommand(encodeCommand(Join)).value() == Join);
  Json::Value Wrong = toJson(Report);
  Wrong["region"] = 5;
  CHECK(!memberFromJson(Wrong).has_value());
}
