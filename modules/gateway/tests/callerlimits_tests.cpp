// Limits on requests that change while callers and other entries keep their
// connections.

#include "tests/fleetfixture.h"

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t LowLimit = 2'048;
constexpr std::uint64_t HighLimit = 65'536;
/// Between the limits, with the allowance for the headers of entries, and below
/// what the targets of these tests take as a header.
constexpr std::size_t LongSize = 7'000;

enum class limited_part : std::uint8_t { Header, Body };

struct limit_change {
  limited_part Part = limited_part::Body;
  bool Raised = false;
  /// On the port for other entries.
  bool ForEntries = false;
};

std::vector<limit_change> allChanges() {
  std::vector<limit_change> Changes;
  for (const limited_part Part : {limited_part::Header, limited_part::Body}) {
    for (const bool Raised : {false, true}) {
      for (const bool ForEntries : {false, true})
        Changes.push_back({Part, Raised, ForEntries});
    }
  }
  return Changes;
}

const char *longStatus(limited_part Part, bool Allowed) {
  if (Allowed)
    return "HTTP/1.1 200";
  return Part == limited_part::Body ? "HTTP/1.1 413" : "HTTP/1.1 431";
}

} // namespace

TEST_GROUP_BASE(CallerLimits,
                fleet_fixture){void setLimit(limited_part Part, bool High){
    const std::uint64_t Limit = High ? HighLimit : LowLimit;
(Part == limited_part::Body ? Plan.Limits.MaxBodyBytes
                            : Plan.Limits.MaxHeaderBytes) = Limit;
++Plan.Version;
for (const auto &Entry : Entries)
  Entry->Gateway.apply(viewOf(*Entry));
}
void apply(const limit_change &Change) { setLimit(Change.Part, Change.Raised); }
void begin(const limit_change &Change) {
  Plan.Limits = {};
  setLimit(Change.Part, !Change.Raised);
}

std::unique_ptr<test_caller> connect(const limit_change &Change) {
  return std::make_unique<test_caller>(
      Loop, true,
      Change.ForEntries ? Entries[1]->RelayAddress : Entries[1]->Address);
}
static std::string head(const limit_change &Change, std::size_t Body,
                        const std::string &More = "") {
  // The allowance for the headers of entries comes on top of the limit.
  const std::string Relay =
      Change.ForEntries ? "Fulmar-Relay: from=e0;plan=1;service=s;age_ms=0\r\n"
                        : "";
  return "POST /write/x HTTP/1.1\r\nHost: a.example\r\nT-Request: id\r\n"
         "T-Deadline: 2000\r\n" +
         Relay + More + "Content-Length: " + std::to_string(Body) + "\r\n\r\n";
}
static std::string shortRequest(const limit_change &Change) {
  return head(Change, 1) + "x";
}
static std::string longRequest(const limit_change &Change) {
  if (Change.Part == limited_part::Body)
    return head(Change, LongSize) + std::string(LongSize, 'b');
  return head(Change, 1, "X: " + std::string(LongSize, 'h') + "\r\n") + "x";
}

void expect(test_caller &Caller, const char *Status) {
  CHECK_TRUE(runUntil(
      [&] { return Caller.Received.find("\r\n\r\n") != std::string::npos; }));
  STRCMP_CONTAINS(Status, Caller.Received.c_str());
  Caller.Received.clear();
}
}
;

// Guards against an idle connection whose next request is held to limits that
// were in force when its last response ended.
TEST(CallerLimits, openConnectionsGetTheLimitsInForce) {
  for (const limit_change &Change : allChanges()) {
    begin(Change);
    const auto Kept = connect(Change);
    Kept->send(shortRequest(Change));
    expect(*Kept, "HTTP/1.1 200");
    const auto Unused = connect(Change);
    runFor(milliseconds(20));
    apply(Change);
    const auto New = connect(Change);
    for (test_caller *Caller : {Kept.get(), Unused.get(), New.get()}) {
      Caller->send(longRequest(Change));
      expect(*Caller, longStatus(Change.Part, Change.Raised));
    }
  }
}

TEST(CallerLimits, aRequestSentAheadGetsTheLimitsAtTheStartOfItsTurn) {
  for (const limit_change &Change : allChanges()) {
    begin(Change);
    Script = [](const received_request &Request) {
      return target_action{.Bytes = scripted_target::ok(Request, "ran"),
                           .ResponseDelay = milliseconds(100)};
    };
    const auto Caller = connect(Change);
    Caller->send(shortRequest(Change) + longRequest(Change));
    runFor(milliseconds(50));
    apply(Change);
    CHECK_TRUE(runUntil([&] {
      return Caller->Received.find(longStatus(Change.Part, Change.Raised), 1) !=
             std::string::npos;
    }));
  }
}

// A change while a request is on its way must not widen its buffers.
TEST(CallerLimits, aRequestThatHasBegunKeepsItsLimits) {
  for (const limit_change &Change : allChanges()) {
    begin(Change);
    const auto Caller = connect(Change);
    Caller->send(shortRequest(Change));
    expect(*Caller, "HTTP/1.1 200");
    const std::string Bytes = longRequest(Change);
    Caller->send(Bytes.substr(0, 20));
    runFor(milliseconds(20));
    apply(Change);
    Caller->send(Bytes.substr(20));
    expect(*Caller, longStatus(Change.Part, !Change.Raised));
  }
}

TEST(CallerLimits, anUploadThatAwaitsConsentGetsTheLimitsInForce) {
  for (const bool ForEntries : {false, true}) {
    const limit_change Change{.Raised = true, .ForEntries = ForEntries};
    begin(Change);
    const auto Caller = connect(Change);
    Caller->send(shortRequest(Change));
    expect(*Caller, "HTTP/1.1 200");
    apply(Change);
    Caller->send(head(Change, LongSize, "Expect: 100-continue\r\n"));
    expect(*Caller, "HTTP/1.1 100");
    Caller->send(std::string(LongSize, 'b'));
    expect(*Caller, "HTTP/1.1 200");
  }
}
