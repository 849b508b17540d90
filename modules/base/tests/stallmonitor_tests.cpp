// Stalls of a process, by the times at which it ran.

#include "fulmar/base/stallmonitor.h"

#include <CppUTest/TestHarness.h>

using namespace fulmar::base;
using std::chrono::milliseconds;

namespace {

instant at(std::int64_t Ms) { return instant(milliseconds(Ms)); }

} // namespace

TEST_GROUP(Stalls) { stall_monitor Monitor; };

TEST(Stalls, aTurnAfterALongPauseEndsAStall) {
  CHECK_FALSE(Monitor.recordTurn(at(10'000)).has_value());
  CHECK_FALSE(Monitor.recordTurn(at(10'025)).has_value());
  CHECK_TRUE(Monitor.recordTurn(at(18'025)) == milliseconds(8'000));
  CHECK_TRUE(Monitor.endedAt() == at(18'025));
  CHECK_FALSE(Monitor.recordTurn(at(18'050)).has_value());
  CHECK_TRUE(Monitor.endedAt() == at(18'025));
}

TEST(Stalls, ordinaryDelaysAreNoStalls) {
  for (std::int64_t Ms = 0; Ms < 5'000; Ms += 499)
    CHECK_FALSE(Monitor.recordTurn(at(Ms)).has_value());
  CHECK_FALSE(Monitor.endedAt().has_value());
}
