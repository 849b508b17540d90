// Leases of targets and entries, and what a leader proposes when they end.

#include "fulmar/controlnode/livenesstable.h"
#include "fulmar/testing/property.h"

using namespace fulmar;
using namespace fulmar::controlnode;
using std::chrono::milliseconds;

namespace {

base::instant at(std::int64_t Ms) { return base::instant(milliseconds(Ms)); }

} // namespace

TEST_GROUP(Liveness) {
  controlstate::control_state State;
  liveness_table Table;
  consensus::log_index Next = 1;

  void apply(controlstate::command_body Body) {
    State.applyCommand(Next++, {.WallMs = 1, .Body = std::move(Body)});
  }
  static fleetlink::entry_status entryNotice(bool Ready) {
    return {.Report = {.Id = "e", .Incarnation = "1", .Address = "a:1"},
            .Ready = Ready};
  }
};

TEST(Liveness, newLeaderWaitsAFullLeaseBeforeExpiringTargets) {
  apply(controlstate::target_report_command{
      {.Id = "t", .Address = "a:1", .StartedAtMs = 1, .Sequence = 1}});
  Table.becomeLeader(at(100'000));
  CHECK_TRUE(Table.dueCommands(State, at(119'000)).empty());
  const auto Due = Table.dueCommands(State, at(120'500));
  CHECK_EQUAL(1U, Due.size());
  // The same command is proposed at most once per second.
  CHECK_TRUE(Table.dueCommands(State, at(120'600)).empty());
}

TEST(Liveness, reportingTargetDoesNotExpire) {
  apply(controlstate::target_report_command{
      {.Id = "t", .Address = "a:1", .StartedAtMs = 1, .Sequence = 1}});
  Table.becomeLeader(at(0));
  Table.recordTargetReport("t", at(15'000));
  CHECK_TRUE(Table.dueCommands(State, at(30'000)).empty());
}

// Guards against a leader that fills its memory with the ids of targets that
// reported to it: only other instances pass them on.
TEST(Liveness, aLeaderDoesNotCollectItsReports) {
  constexpr int Reports = 100'000;
  for (int Number = 0; Number < Reports; ++Number)
    Table.recordTargetReport("t" + std::to_string(Number % 100), at(Number));
  CHECK_TRUE(Table.dueCommands(State, at(Reports)).empty());
  CHECK_TRUE(Table.takeReportedTargets().empty());
}

TEST(Liveness, onlyReadyEntriesWithARecentStatusAreListed) {
  Table.recordEntryStatus(entryNotice(false), at(0));
  CHECK_TRUE(Table.readyEntries(at(0)).empty());
  Table.recordEntryStatus(entryNotice(true), at(0));
  CHECK_EQUAL(1U, Table.readyEntries(at(1'000)).size());
  CHECK_TRUE(Table.readyEntries(at(1'400)).empty());
  Table.recordEntryHeartbeat("e", at(1'500));
  CHECK_EQUAL(1U, Table.readyEntries(at(1'500)).size());
  Table.recordEntryDisconnect("e");
  CHECK_TRUE(Table.readyEntries(at(1'500)).empty());
}

// Guards against hiding an entry whose machine restarts after a power failure
// before its earlier connection times out.
TEST(Liveness, lateDisconnectOfAnEarlierConnectionDoesNotHideTheEntry) {
  Table.recordEntryStatus(entryNotice(true), at(0));
  // The restarted entry connects; then its earlier connection times out.
  Table.recordEntryStatus(entryNotice(true), at(1'000));
  Table.recordEntryDisconnect("e");
  Table.recordEntryHeartbeat("e", at(1'400));
  CHECK_EQUAL(1U, Table.readyEntries(at(1'400)).size());
}

TEST(Liveness, entryJoinsOnceAndExpiresWhenSilent) {
  Table.becomeLeader(at(0));
  Table.recordEntryStatus(entryNotice(true), at(0));
  CHECK_EQUAL(1U, Table.dueCommands(State, at(10)).size());
  apply(controlstate::member_report_command{entryNotice(true).Report});
  CHECK_TRUE(Table.dueCommands(State, at(2'000)).empty());
  CHECK_EQUAL(1U, Table.dueCommands(State, at(10'500)).size());
}

// Guards against a target that said it drains, falls silent for longer than
// its lease, and is put back into service by an earlier report.
TEST(Liveness, aDrainingTargetWhoseLeaseEndsHasLeft) {
  using fleet::target_phase;
  const auto Report = [](target_phase Phase, std::uint64_t Sequence) {
    return controlstate::target_report_command{{.Id = "t",
                                                .Address = "a:1",
                                                .Phase = Phase,
                                                .StartedAtMs = 1,
                                                .Sequence = Sequence}};
  };
  apply(Report(target_phase::Draining, 5));
  Table.becomeLeader(at(0));
  for (controlstate::command_body &Due : Table.dueCommands(State, at(20'500)))
    apply(std::move(Due));
  CHECK_FALSE(State.published().value("target/t").has_value());
  apply(Report(target_phase::Serving, 4));
  CHECK_FALSE(State.published().value("target/t").has_value());
}

// Guards against a leader that wakes from a long stall and expires the targets
// and entries whose reports it has not read.
TEST(Liveness, aStalledLeaderGrantsAllLeasesAnew) {
  apply(controlstate::target_report_command{
      {.Id = "t", .Address = "a:1", .StartedAtMs = 1, .Sequence = 1}});
  Table.becomeLeader(at(0));
  Table.recordTargetReport("t", at(1'000));
  Table.recordStall(at(30'000));
  CHECK_EQUAL(0U, Table.dueCommands(State, at(30'500)).size());
  CHECK_EQUAL(1U, Table.dueCommands(State, at(50'500)).size());
}
