// Entries that are cut off from all targets while callers and other entries
// still reach them.

#include "tests/fleetfixture.h"

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

TEST_GROUP_BASE(PartitionedEntries, fleet_fixture){
    /// Cuts the entry off after it has opened connections; returns how many
    /// of 20 requests are served from shortly after.
    int servedWhile(link_state State, const char *Method,
                    const char *Path){CHECK_EQUAL(4, served(0, 4));
setLinks(0, State);
// The bound of the promise is seconds; a few requests may find the cut.
served(0, 2);
return served(0, 20, Method, Path);
}
}
;

TEST(PartitionedEntries, callersAreServedWhileConnectionsToTargetsHang) {
  CHECK_TRUE(servedWhile(link_state::Hanging, "GET", "/read/") >= 19);
  CHECK_TRUE(served(0, 10, "POST", "/write/") >= 9);
}

TEST(PartitionedEntries, callersAreServedWhileConnectionsToTargetsAreReset) {
  CHECK_TRUE(servedWhile(link_state::Resetting, "GET", "/read/") >= 19);
  CHECK_TRUE(served(0, 10, "POST", "/write/") >= 9);
}

TEST(PartitionedEntries, callersAreServedByAnEntryThatStartsCutOff) {
  setLinks(0, link_state::Refusing);
  CHECK_TRUE(served(0, 10) >= 9);
  setLinks(0, link_state::Hanging);
  CHECK_TRUE(served(0, 10) >= 9);
}

// Most targets of the service want no requests and are not probed, so that few
// can be silent.
TEST(PartitionedEntries, callersAreServedWhenFewTargetsMayBeAsked) {
  for (std::size_t Number = 2; Number < TargetCount; ++Number)
    Targets[Number]->setHealthHeaders("T-Leaving: 1\r\n");
  for (std::size_t Entry = 0; Entry < EntryCount; ++Entry)
    served(Entry, 10);
  CHECK_TRUE(servedWhile(link_state::Hanging, "GET", "/read/") >= 19);
}

// Open connections live on, new ones are refused: so is the connection that
// would prove that the target still runs.
TEST(PartitionedEntries, aSlowRequestIsNotBlamedForTheCutOfItsEntry) {
  CHECK_EQUAL(4, served(0, 4));
  Script = [](const received_request &) { return target_action{}; };
  test_caller Caller(Loop, true, Entries[0]->Address);
  Caller.send(requestWithId("POST", "/write/slow", "slow"));
  const std::size_t Before = requestCount();
  CHECK_TRUE(runUntil([&] { return requestCount() > Before; }));
  setLinks(0, link_state::Refusing);
  runFor(milliseconds(2'500));
  STRCMP_CONTAINS("HTTP/1.1 504", Caller.Received.c_str());
  CHECK_TRUE(Entries[0]->Crashes.empty());
}
