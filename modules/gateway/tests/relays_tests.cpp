// Requests that one entry passes on through another: what callers and targets
// see, and what becomes of them when an entry on the way fails.

#include "internal/targetconnection.h"
#include "tests/fleetfixture.h"

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

TEST_GROUP_BASE(Relays, fleet_fixture) {
  void setup() override {
    fleet_fixture::setup();
    // The first request finds out that the entry is cut off.
    setLinks(0, link_state::Resetting);
    CHECK_EQUAL(1, served(0, 1));
  }

  std::int64_t relayed(std::size_t Entry, const std::string &Outcome) {
    return static_cast<std::int64_t>(
        Entries[Entry]
            ->Metrics
            .counterOf("fulmar_requests_relayed_total",
                       "outcome=\"" + Outcome + "\"")
            .value());
  }
  /// The entry that serves the requests of the first one.
  std::unique_ptr<test_entry> &firstRelay() {
    const auto Order =
        placement::relayOrder({.Id = Entries[0]->Id, .DataCentre = "pos"},
                              *viewOf(*Entries[0]).Relays);
    for (auto &Entry : Entries) {
      if (Entry && Entry->Id == Order.front().Id)
        return Entry;
    }
    FAIL("no entry relays");
    return Entries.back();
  }
  /// Sends a request that reaches a target and gets no response there.
  void leaveUnanswered(test_caller & Caller, const char *Method,
                       const char *Path) {
    Script = [](const received_request &) { return target_action{}; };
    const std::size_t Before = requestCount();
    Caller.send(requestWithId(Method, Path, "x"));
    CHECK_TRUE(runUntil([&] { return requestCount() > Before; }));
  }
  const received_request &lastRequest() const {
    for (const auto &Target : Targets) {
      if (!Target->requests().empty() &&
          Target->requests().back().Target == LastPath)
        return Target->requests().back();
    }
    FAIL("no target got the request");
    return Targets.front()->requests().back();
  }
  std::string LastPath;
};

TEST(Relays, targetsGetTheRequestUnchangedAndTheTimeThatIsLeft) {
  LastPath = "/write/x";
  const std::string Body(100'000, 'b');
  const std::string Response =
      fetch(0, requestWithId("POST", LastPath, "big", Body));
  STRCMP_CONTAINS("HTTP/1.1 200", Response.c_str());
  CHECK_TRUE(Response.find("Fulmar-") == std::string::npos);
  const received_request &Received = lastRequest();
  CHECK_TRUE(Received.Body == Body);
  CHECK_TRUE(headerOf(Received.Fields, "T-Request") == "big");
  CHECK_TRUE(headerOf(Received.Fields, "Fulmar-Relay").empty());
  const auto Left = parseWhole(headerOf(Received.Fields, "T-Deadline"));
  CHECK_TRUE(Left && *Left < 2'000 && *Left > 500);
}

TEST(Relays, directSendsReturnSoonAfterTheCut) {
  setLinks(0, link_state::Open);
  runFor(milliseconds(600));
  const std::int64_t Before = relayed(0, "served");
  CHECK_EQUAL(10, served(0, 10));
  CHECK_EQUAL(Before, relayed(0, "served"));
}

TEST(Relays, whenAllEntriesAreCutOffRequestsAreRejectedAtOnce) {
  for (std::size_t Entry = 1; Entry < EntryCount; ++Entry) {
    setLinks(Entry, link_state::Resetting);
    served(Entry, 2);
  }
  runFor(milliseconds(600));
  const base::instant StartedAt = Loop.now();
  const std::string Response = fetch(0, requestWithId("GET", "/read/x", "x"));
  CHECK_TRUE(Loop.now() - StartedAt < milliseconds(100));
  STRCMP_CONTAINS("HTTP/1.1 503", Response.c_str());
  STRCMP_CONTAINS("Retry-After", Response.c_str());
}

// Two entries without contact that passed a request on to each other would do
// so until its deadline.
TEST(Relays, aRequestIsPassedOnOnlyOnce) {
  for (std::size_t Entry = 1; Entry < EntryCount; ++Entry)
    setLinks(Entry, link_state::Resetting);
  served(0, 5);
  for (std::size_t Entry = 1; Entry < EntryCount; ++Entry)
    CHECK_EQUAL(0,
                Entries[Entry]
                    ->Metrics.counterOf("fulmar_relay_connections_opened_total")
                    .value());
}

TEST(Relays, aCallerCannotPassForAnEntry) {
  test_caller Caller(Loop, true, Entries[1]->Address);
  Caller.send("GET /read/feigned HTTP/1.1\r\nHost: a.example\r\n"
              "T-Request: id\r\nT-Deadline: 2000\r\n"
              "Fulmar-Relay: from=e0;plan=99;service=s;age_ms=0\r\n\r\n");
  CHECK_TRUE(runUntil([&] { return !Caller.Received.empty(); }));
  STRCMP_CONTAINS("HTTP/1.1 200", Caller.Received.c_str());
  LastPath = "/read/feigned";
  CHECK_TRUE(headerOf(lastRequest().Fields, "Fulmar-Relay").empty());
}

TEST(Relays, theListenerForEntriesServesNoCallers) {
  test_caller Caller(Loop, true, Entries[1]->RelayAddress);
  const std::size_t Before = requestCount();
  Caller.send(requestWithId("GET", "/read/x", "x"));
  CHECK_TRUE(runUntil([&] { return !Caller.Received.empty(); }));
  STRCMP_CONTAINS("HTTP/1.1 400", Caller.Received.c_str());
  CHECK_EQUAL(Before, requestCount());
}

TEST(Relays, anUnsafeRequestWhoseRelayIsLostRunsOnceAndIsNotCalledUnrun) {
  test_caller Caller(Loop, true, Entries[0]->Address);
  const std::size_t Before = requestCount();
  leaveUnanswered(Caller, "POST", "/write/x");
  Script = [](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "again")};
  };
  firstRelay().reset();
  CHECK_TRUE(runUntil([&] { return !Caller.Received.empty(); }));
  STRCMP_CONTAINS("HTTP/1.1 502", Caller.Received.c_str());
  CHECK_EQUAL(Before + 1, requestCount());
}

TEST(Relays, anIdempotentRequestWhoseRelayIsLostIsServedThroughAnother) {
  test_caller Caller(Loop, true, Entries[0]->Address);
  const std::size_t Before = requestCount();
  leaveUnanswered(Caller, "GET", "/read/x");
  Script = [](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "again")};
  };
  firstRelay().reset();
  CHECK_TRUE(runUntil([&] { return !Caller.Received.empty(); }));
  STRCMP_CONTAINS("again", Caller.Received.c_str());
  CHECK_EQUAL(Before + 2, requestCount());
}

TEST(Relays, aCallerThatLeavesEndsTheWorkAtTheTarget) {
  test_caller Caller(Loop, true, Entries[0]->Address);
  leaveUnanswered(Caller, "GET", "/read/x");
  Caller.close();
  CHECK_TRUE(runUntil(
      [&] {
        int Abandoned = 0;
        for (const auto &Target : Targets)
          Abandoned += Target->abandoned();
        return Abandoned > 0;
      },
      milliseconds(200)));
}

TEST(Relays, aLongResponseArrivesWhole) {
  const std::string Body(3 * MaxBufferedResponseBytes, 'r');
  Script = [&Body](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, Body)};
  };
  test_caller Caller(Loop, true, Entries[0]->Address);
  Caller.send(requestWithId("GET", "/read/x", "x"));
  CHECK_TRUE(runUntil([&] { return Caller.Received.size() > Body.size(); }));
  CHECK_TRUE(Caller.Received.ends_with(Body));
  CHECK_TRUE(Caller.Received.find("Fulmar-") == std::string::npos);
}

// An entry passes on only to entries whose plan is as new as its own.
TEST(Relays, anEntryWithAnOlderPlanPassesTheRequestBack) {
  Plan.Version = 2;
  Entries[0]->Gateway.apply(viewOf(*Entries[0]));
  const std::size_t Before = requestCount();
  CHECK_EQUAL(0, served(0, 1));
  CHECK_EQUAL(Before, requestCount());
  for (const auto &Entry : Entries)
    Entry->Gateway.apply(viewOf(*Entry));
  // The peers are tried again after a pause.
  runFor(milliseconds(1'100));
  CHECK_EQUAL(1, served(0, 1));
}

TEST(Relays, aStoppingEntryFinishesWhatItGotAndTakesNothingNew) {
  Script = [](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "slow"),
                         .ResponseDelay = milliseconds(200)};
  };
  test_caller Caller(Loop, true, Entries[0]->Address);
  const std::size_t Before = requestCount();
  Caller.send(requestWithId("POST", "/write/x", "x"));
  CHECK_TRUE(runUntil([&] { return requestCount() > Before; }));
  firstRelay()->Gateway.stop([] {});
  CHECK_TRUE(runUntil([&] { return !Caller.Received.empty(); }));
  STRCMP_CONTAINS("slow", Caller.Received.c_str());
  Script = [](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "ran")};
  };
  CHECK_EQUAL(4, served(0, 4, "POST", "/write/"));
  CHECK_EQUAL(1, relayed(0, "elsewhere"));
}
