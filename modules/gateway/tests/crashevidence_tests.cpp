// Which broken attempts an entry takes for the end of a target.

#include "fulmar/routing/fingerprint.h"
#include "fulmar/testing/property.h"
#include "tests/gatewayfixture.h"

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

namespace {

/// Several times the time in which an entry asks a target and reports.
constexpr base::duration ReportTime = milliseconds(1'500);
const std::string Post = request("POST", "/write/1", "body");

std::string fingerprintOf(const std::string &Method, const std::string &Path,
                          const std::string &Body) {
  return routing::fingerprintText(
      routing::fingerprintOfContent(Method, "a.example" + Path, Body));
}

} // namespace

TEST_GROUP_BASE(CrashEvidence, gateway_fixture){
    /// A target that ends on its first request.
    void addCrashing(){addTarget([this](const seen_request &) {
      Loop.post([this] { Targets.front()->crash(); });
      return target_action{};
    });
}
bool reported() {
  return runUntil([this] { return !Crashes.empty(); }, ReportTime);
}
}
;

TEST(CrashEvidence, aTargetThatEndsUnderItsFirstRequestIsReportedSoon) {
  addCrashing();
  ask(Post);
  CHECK_TRUE(reported());
  STRCMP_EQUAL("t0", Crashes.front().Target.c_str());
}

// Load: a full target resets connections and goes on.
TEST(CrashEvidence, aTargetThatResetsAConnectionAndRunsOnIsNotReported) {
  addTarget([](const seen_request &) { return target_action{.Close = true}; });
  ask(Post);
  CHECK_FALSE(reported());
}

// Load: the target is back at its address with another id before it is asked.
TEST(CrashEvidence, anotherTargetAtTheAddressShowsThatTheFirstHasEnded) {
  std::unique_ptr<scripted_target> Successor;
  addTarget([&](const seen_request &) {
    Loop.post([&] {
      Targets.front()->crash();
      Successor = std::make_unique<scripted_target>(
          Loop, "other", Targets.front()->address(),
          [](const seen_request &) { return target_action{}; });
    });
    return target_action{};
  });
  ask(Post);
  CHECK_TRUE(reported());
}

// Load: a rack dies, and what its targets ran is answered elsewhere.
TEST(CrashEvidence, aRequestThatAnotherTargetAnswersIsNotReported) {
  addCrashing();
  test_caller Caller(Loop);
  Caller.send(request("GET", "/read/1"));
  runUntil([this] { return arrived() == 1; });
  addTarget([](const seen_request &Seen) {
    return target_action{.Bytes = scripted_target::ok(Seen, "done")};
  });
  runUntil([&Caller] { return !Caller.Received.empty(); });
  STRCMP_CONTAINS("200 OK", Caller.Received.c_str());
  CHECK_FALSE(reported());
}

// Load: the control instances are away, and the request comes again.
TEST(CrashEvidence, anEntryIsBoundByItsOwnEvidenceAtOnce) {
  constexpr std::size_t Crashing = 4;
  for (std::size_t Number = 0; Number < Crashing; ++Number)
    addTarget([this, Number](const seen_request &) {
      Loop.post([this, Number] { Targets[Number]->crash(); });
      return target_action{};
    });
  std::string Last;
  for (std::size_t Number = 0; Number < 2 * Crashing; ++Number)
    Last = ask(Post);
  UNSIGNED_LONGS_EQUAL(2, arrived());
  STRCMP_CONTAINS("quarantined", Last.c_str());
}

// Load: every target is full, the request waits, and meanwhile the fleet learns
// that it crashes targets.
TEST(CrashEvidence, aRequestThatWaitsIsNotSentOnceItIsQuarantined) {
  addTarget([](const seen_request &Seen) {
    return target_action{.Bytes = scripted_target::ok(Seen, "done")};
  });
  Targets.front()->setLoad("4,8,4,100");
  test_caller Caller(Loop);
  Caller.send(Post);
  runUntil([] { return false; }, milliseconds(100));
  Quarantined = {fingerprintOf("POST", "/write/1", "body")};
  apply();
  Targets.front()->setLoad("0,0,4,100");
  runUntil([&Caller] { return !Caller.Received.empty(); });
  UNSIGNED_LONGS_EQUAL(0, arrived());
  STRCMP_CONTAINS("HTTP/1.1 503", Caller.Received.c_str());
  STRCMP_CONTAINS("quarantined", Caller.Received.c_str());
}

// Load: the first target is slow, and the fleet learns meanwhile.
TEST(CrashEvidence, aSecondRunIsNotBegunOnceARequestIsQuarantined) {
  for (int Number = 0; Number < 2; ++Number)
    addTarget([](const seen_request &) { return target_action{}; });
  test_caller Caller(Loop);
  Caller.send(request("GET", "/read/1"));
  runUntil([this] { return arrived() == 1; });
  Quarantined = {fingerprintOf("GET", "/read/1", "")};
  apply();
  runUntil([&Caller] { return !Caller.Received.empty(); });
  UNSIGNED_LONGS_EQUAL(1, arrived());
  STRCMP_CONTAINS("HTTP/1.1 504", Caller.Received.c_str());
}

TEST(CrashEvidence, callersOfAQuarantinedRequestAreNotAskedBackSoon) {
  addTarget([](const seen_request &) { return target_action{}; });
  Quarantined = {fingerprintOf("POST", "/write/1", "body")};
  apply();
  STRCMP_CONTAINS("Retry-After: 60", ask(Post).c_str());
}

// Load: the target's machine is gone without a word; the caller's time ends.
TEST(CrashEvidence, aTargetThatFallsSilentUnderARequestAndIsGoneIsReported) {
  addTarget([](const seen_request &) { return target_action{}; });
  test_caller Caller(Loop);
  Caller.send(Post);
  runUntil([this] { return arrived() == 1; });
  Targets.front()->stopListening();
  runUntil([&Caller] { return !Caller.Received.empty(); });
  STRCMP_CONTAINS("HTTP/1.1 504", Caller.Received.c_str());
  CHECK_TRUE(reported());
}

// Load: a target that is slow, and alive.
TEST(CrashEvidence, aTargetThatIsSlowAndRunsOnIsNotReported) {
  addTarget([](const seen_request &) { return target_action{}; });
  const std::string Answer = ask(Post);
  STRCMP_CONTAINS("HTTP/1.1 504", Answer.c_str());
  CHECK_FALSE(reported());
}
