// Which reports of targets are logged as late.

#include "fulmar/controlnode/latereportlog.h"
#include "fulmar/testing/property.h"

using namespace fulmar;
using namespace fulmar::controlnode;

TEST_GROUP(LateReports) {
  controlstate::target_table Targets;
  late_report_log Log;

  static fleet::target_report reportOf(std::int64_t StartedAtMs,
                                       std::uint64_t Sequence) {
    return {.Id = "t",
            .Address = "a:1",
            .StartedAtMs = StartedAtMs,
            .Sequence = Sequence};
  }
};

// Guards against a late report that leaves no trace of why it was ignored.
TEST(LateReports, areLoggedOnceForEachRun) {
  Targets.update(reportOf(100, 3));
  CHECK_TRUE(Log.record(reportOf(100, 2), Targets));
  CHECK_FALSE(Log.record(reportOf(100, 1), Targets));
  Targets.markLeft("t", 100);
  Targets.update(reportOf(200, 1));
  CHECK_TRUE(Log.record(reportOf(50, 9), Targets));
  CHECK_FALSE(Log.record(reportOf(50, 9), Targets));
}

TEST(LateReports, ofARunThatLeftAreLoggedWhateverTheirSequence) {
  Targets.update(reportOf(100, 3));
  Targets.markLeft("t", 100);
  CHECK_TRUE(Log.record(reportOf(100, 4), Targets));
}

TEST(LateReports, doNotIncludeNewOrRepeatedReports) {
  CHECK_FALSE(Log.record(reportOf(100, 3), Targets));
  Targets.update(reportOf(100, 3));
  CHECK_FALSE(Log.record(reportOf(100, 3), Targets));
  CHECK_FALSE(Log.record(reportOf(100, 4), Targets));
  CHECK_FALSE(Log.record(reportOf(200, 1), Targets));
}
