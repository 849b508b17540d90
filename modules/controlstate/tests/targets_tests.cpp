// Tests of targets, the routing plan and data centres without a section, with
// delayed, repeated and reordered commands.

#include "fulmar/controlstate/controlstate.h"
#include "fulmar/fleet/routingplan.h"
#include "fulmar/testing/property.h"

using namespace fulmar;
using namespace fulmar::controlstate;
using fleet::target_phase;
using fleet::target_report;

namespace {

target_report reportOf(const std::string &Id, std::int64_t StartedAtMs,
                       std::uint64_t Sequence) {
  return {.Id = Id,
          .Service = "s",
          .DataCentre = "pos",
          .Address = "10.0.0.1:80",
          .Slots = 2,
          .StartedAtMs = StartedAtMs,
          .Sequence = Sequence};
}

} // namespace

namespace {

plan_command planOf(std::uint64_t Version, const std::string &Document,
                    const std::vector<std::string> &Paths = {}) {
  fleet::routing_plan Plan{.Version = Version};
  for (const std::string &Path : Paths)
    Plan.Routes.push_back(
        {.Name = Path, .Host = "h", .PathPrefix = Path, .TimeoutMs = 100});
  return {.Version = Version,
          .Plan = fleet::encodePlan(Plan),
          .Document = Document};
}

} // namespace

TEST_GROUP(Targets) {
  control_state State;
  consensus::log_index Next = 1;

  reply apply(command_body Body) {
    return State.applyCommand(Next++, {.WallMs = 1, .Body = std::move(Body)});
  }
  bool changes(const target_report &Report) {
    return std::get<target_reply>(apply(target_report_command{Report})).Changed;
  }
  bool published(const std::string &Id) {
    return State.published().value(publication::TargetPrefix + Id).has_value();
  }
};

TEST(Targets, ignoresReportWithLowerSequence) {
  CHECK_TRUE(changes(reportOf("t", 100, 1)));
  target_report Drains = reportOf("t", 100, 5);
  Drains.Phase = target_phase::Draining;
  CHECK_TRUE(changes(Drains));
  CHECK_FALSE(changes(reportOf("t", 100, 4)));
  CHECK_TRUE(State.targets().find("t")->Phase == target_phase::Draining);
}

TEST(Targets, departedTargetReturnsOnlyAfterRestart) {
  changes(reportOf("t", 100, 1));
  apply(target_left_command{.Id = "t"});
  CHECK_FALSE(published("t"));
  CHECK_FALSE(changes(reportOf("t", 100, 9)));
  CHECK_FALSE(published("t"));
  CHECK_TRUE(changes(reportOf("t", 200, 1)));
  CHECK_TRUE(published("t"));
}

TEST(Targets, ignoresDepartureOfEarlierRun) {
  changes(reportOf("t", 200, 1));
  apply(target_left_command{.Id = "t", .StartedAtMs = 100});
  CHECK_TRUE(published("t"));
}

TEST(Targets, latestStartedTargetOwnsAddress) {
  changes(reportOf("old", 100, 1));
  CHECK_TRUE(changes(reportOf("new", 200, 1)));
  CHECK_FALSE(published("old"));
  CHECK_TRUE(published("new"));
  // Sent by the old target before it crashed, delivered after the new target
  // took over its address.
  CHECK_FALSE(changes(reportOf("old", 100, 2)));
  CHECK_TRUE(published("new"));
}

TEST(Targets, expiredTargetReturnsWithNextReport) {
  changes(reportOf("t", 100, 3));
  apply(target_expired_command{.Id = "t", .StartedAtMs = 100, .Sequence = 2});
  CHECK_TRUE(published("t"));
  apply(target_expired_command{.Id = "t", .StartedAtMs = 100, .Sequence = 3});
  CHECK_FALSE(published("t"));
  CHECK_TRUE(changes(reportOf("t", 100, 4)));
  CHECK_TRUE(published("t"));
}

TEST(Targets, rejectsIdWithSlash) {
  const reply Reply = apply(target_report_command{reportOf("a/b", 1, 1)});
  CHECK_TRUE(std::holds_alternative<error_reply>(Reply));
}

TEST(Targets, appliesOnlyHigherPlanVersion) {
  const auto Put = [this](std::uint64_t Version, const std::string &Document) {
    return std::get<plan_reply>(apply(planOf(Version, Document)));
  };
  CHECK_TRUE(Put(5, "five").Changed);
  CHECK_FALSE(Put(4, "four").Changed);
  // The same version with different content is ignored.
  CHECK_FALSE(Put(5, "other").Changed);
  STRCMP_EQUAL("five", State.plan().current().Document.c_str());
  CHECK_TRUE(Put(9, "nine").Changed);
  STRCMP_EQUAL("nine", State.plan().current().Document.c_str());
}

TEST(Targets, rejectsMalformedPlan) {
  const reply Reply = apply(
      plan_command{.Version = 5, .Plan = "no msgpack", .Document = "five"});
  CHECK_TRUE(std::holds_alternative<error_reply>(Reply));
  CHECK_EQUAL(0U, State.plan().version());
}

// Guards against overloading slow links: when plans follow each other quickly,
// only the changed routes may be sent.
TEST(Targets, publishesOnlyChangedRoutes) {
  apply(planOf(1, "one", {"/a/", "/b/", "/c/"}));
  const auto Known = State.published().latest();
  apply(planOf(2, "two", {"/a/", "/b/", "/d/"}));
  // The plan itself, the added route and the removed route.
  const auto Changes = State.published().changesSince(Known);
  CHECK_EQUAL(3U, Changes.Items.size());
  CHECK_EQUAL(3U,
              State.published().withPrefix(publication::RoutePrefix).size());
}

TEST(Targets, administratorCanDisableDataCentreWithoutSection) {
  data_centre_command Leave{.OperationId = "1",
                            .Name = "pos",
                            .Author = "operator",
                            .Proof = {.Administrator = true}};
  CHECK_TRUE(std::holds_alternative<data_centre_reply>(apply(Leave)));
  CHECK_FALSE(State.dataCentres().stateOf("pos").InService);
  Leave.OperationId = "2";
  Leave.Proof.Administrator = false;
  CHECK_TRUE(std::holds_alternative<error_reply>(apply(Leave)));
}

TEST(Targets, snapshotPreservesPlanAndTargets) {
  changes(reportOf("t", 100, 3));
  changes(reportOf("gone", 90, 3));
  apply(target_left_command{.Id = "gone"});
  apply(planOf(7, "seven", {"/a/"}));
  control_state Restored;
  CHECK_TRUE(Restored.restore(State.snapshot()).has_value());
  CHECK_TRUE(Restored.targets().all() == State.targets().all());
  CHECK_EQUAL(7U, Restored.plan().version());
  CHECK_EQUAL(State.published().digest(), Restored.published().digest());
  STRCMP_EQUAL(State.snapshot().c_str(), Restored.snapshot().c_str());
}

TEST_GROUP(PublishedAccounts) {
  control_state State;
  consensus::log_index Next = 1;

  void setup() override { State.setAccountsReader(&read); }
  /// The document is the name of the only account; "none" has no accounts.
  static base::result<fleet::account_set> read(const std::string &Document) {
    if (Document == "none")
      return fleet::account_set{};
    return fleet::account_set{.Required = true,
                              .Accounts = {{.Name = Document}}};
  }
  void replacePlan(std::uint64_t Version, const std::string &Document) {
    State.applyCommand(Next++,
                       {.WallMs = 1, .Body = planOf(Version, Document)});
  }
  static std::string publishedIn(const control_state &Held) {
    const auto Value = Held.published().value(publication::AccountsKey);
    if (!Value)
      return "absent";
    const auto Read = fleet::decodeAccounts(*Value);
    return Read.value().Required ? Read.value().Accounts[0].Name
                                 : "not required";
  }
};

TEST(PublishedAccounts, followThePlanAndStayAbsentWithoutAccounts) {
  replacePlan(1, "none");
  STRCMP_EQUAL("absent", publishedIn(State).c_str());
  replacePlan(2, "first");
  STRCMP_EQUAL("first", publishedIn(State).c_str());
  replacePlan(1, "older");
  STRCMP_EQUAL("first", publishedIn(State).c_str());
  replacePlan(3, "none");
  STRCMP_EQUAL("not required", publishedIn(State).c_str());
}

// Guards against a control instance that takes over the snapshot of an earlier
// build, which publishes no accounts, and lets entries serve without keys.
TEST(PublishedAccounts, areDerivedFromASnapshotOfAnEarlierBuild) {
  control_state Earlier;
  Earlier.applyCommand(1, {.WallMs = 1, .Body = planOf(4, "first")});
  STRCMP_EQUAL("absent", publishedIn(Earlier).c_str());
  CHECK_TRUE(State.restore(Earlier.snapshot()).has_value());
  STRCMP_EQUAL("first", publishedIn(State).c_str());
  CHECK_EQUAL(Earlier.published().latest(), State.published().latest());
}

TEST(PublishedAccounts, surviveASnapshot) {
  replacePlan(1, "first");
  control_state Restored;
  Restored.setAccountsReader(&read);
  CHECK_TRUE(Restored.restore(State.snapshot()).has_value());
  CHECK_EQUAL(State.published().digest(), Restored.published().digest());
}
