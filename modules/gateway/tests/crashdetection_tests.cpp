// Which broken attempts an entry takes for a crash of the target.

#include "fulmar/routing/fingerprint.h"
#include "fulmar/testing/property.h"
#include "tests/gatewayfixture.h"

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

namespace {

/// Several times the time in which an entry probes a target and reports a
/// crash.
constexpr base::duration MaxReportTime = milliseconds(1'500);
const std::string PostRequest = request("POST", "/write/1", "body");

std::string fingerprintOf(const std::string &Method, const std::string &Path,
                          const std::string &Body) {
  return routing::fingerprintText(
      routing::fingerprintOfContent(Method, "a.example" + Path, Body));
}

} // namespace

TEST_GROUP_BASE(CrashDetection, gateway_fixture){
    /// A target that crashes on its first request.
    void addCrashingTarget(){addTarget([this](const received_request &) {
      Loop.post([this] { Targets.front()->crash(); });
      return target_action{};
    });
}
bool crashReported() {
  return runUntil([this] { return !Crashes.empty(); }, MaxReportTime);
}
}
;

TEST(CrashDetection, aTargetThatCrashesOnItsFirstRequestIsReportedSoon) {
  addCrashingTarget();
  fetch(PostRequest);
  CHECK_TRUE(crashReported());
  STRCMP_EQUAL("t0", Crashes.front().Target.c_str());
}

// An overloaded target resets connections but keeps running.
TEST(CrashDetection, aTargetThatResetsAConnectionButKeepsRunningIsNotReported) {
  addTarget(
      [](const received_request &) { return target_action{.Close = true}; });
  fetch(PostRequest);
  CHECK_FALSE(crashReported());
}

// Another target takes over the address before the crashed one is probed.
TEST(CrashDetection, aDifferentTargetAtTheAddressProvesThatTheFirstHasCrashed) {
  std::unique_ptr<scripted_target> Successor;
  addTarget([&](const received_request &) {
    Loop.post([&] {
      Targets.front()->crash();
      Successor = std::make_unique<scripted_target>(
          Loop, "other", Targets.front()->address(),
          [](const received_request &) { return target_action{}; });
    });
    return target_action{};
  });
  fetch(PostRequest);
  CHECK_TRUE(crashReported());
}

// A rack fails, and the requests of its targets succeed elsewhere: they must
// not be blamed for the crashes.
TEST(CrashDetection, aRequestThatAnotherTargetAnswersIsNotReported) {
  addCrashingTarget();
  test_caller Caller(Loop);
  Caller.send(request("GET", "/read/1"));
  runUntil([this] { return requestCount() == 1; });
  addTarget([](const received_request &Received) {
    return target_action{.Bytes = scripted_target::ok(Received, "done")};
  });
  runUntil([&Caller] { return !Caller.Received.empty(); });
  STRCMP_CONTAINS("200 OK", Caller.Received.c_str());
  CHECK_FALSE(crashReported());
}

// The control instances are unreachable while the same request is sent again.
TEST(CrashDetection, anEntryQuarantinesOnItsOwnEvidenceAtOnce) {
  constexpr std::size_t Crashing = 4;
  for (std::size_t Number = 0; Number < Crashing; ++Number)
    addTarget([this, Number](const received_request &) {
      Loop.post([this, Number] { Targets[Number]->crash(); });
      return target_action{};
    });
  std::string Last;
  for (std::size_t Number = 0; Number < 2 * Crashing; ++Number)
    Last = fetch(PostRequest);
  UNSIGNED_LONGS_EQUAL(2, requestCount());
  STRCMP_CONTAINS("quarantined", Last.c_str());
}

// All targets are full; the request is quarantined by the fleet while it waits.
TEST(CrashDetection, aRequestThatWaitsIsNotSentOnceItIsQuarantined) {
  addTarget([](const received_request &Received) {
    return target_action{.Bytes = scripted_target::ok(Received, "done")};
  });
  Targets.front()->setLoad("4,8,4,100");
  test_caller Caller(Loop);
  Caller.send(PostRequest);
  runUntil([] { return false; }, milliseconds(100));
  Quarantined = {fingerprintOf("POST", "/write/1", "body")};
  apply();
  Targets.front()->setLoad("0,0,4,100");
  runUntil([&Caller] { return !Caller.Received.empty(); });
  UNSIGNED_LONGS_EQUAL(0, requestCount());
  STRCMP_CONTAINS("HTTP/1.1 503", Caller.Received.c_str());
  STRCMP_CONTAINS("quarantined", Caller.Received.c_str());
}

// The first target is slow; the request is quarantined by the fleet meanwhile.
TEST(CrashDetection, aQuarantinedRequestIsNotHedged) {
  for (int Number = 0; Number < 2; ++Number)
    addTarget([](const received_request &) { return target_action{}; });
  test_caller Caller(Loop);
  Caller.send(request("GET", "/read/1"));
  runUntil([this] { return requestCount() == 1; });
  Quarantined = {fingerprintOf("GET", "/read/1", "")};
  apply();
  runUntil([&Caller] { return !Caller.Received.empty(); });
  UNSIGNED_LONGS_EQUAL(1, requestCount());
  STRCMP_CONTAINS("HTTP/1.1 504", Caller.Received.c_str());
}

TEST(CrashDetection, aQuarantinedRequestGetsALongRetryAfter) {
  addTarget([](const received_request &) { return target_action{}; });
  Quarantined = {fingerprintOf("POST", "/write/1", "body")};
  apply();
  STRCMP_CONTAINS("Retry-After: 60", fetch(PostRequest).c_str());
}

// The target's machine fails silently, and the caller's deadline passes.
TEST(CrashDetection, aTargetThatStopsRespondingAndIsGoneIsReported) {
  addTarget([](const received_request &) { return target_action{}; });
  test_caller Caller(Loop);
  Caller.send(PostRequest);
  runUntil([this] { return requestCount() == 1; });
  Targets.front()->stopListening();
  runUntil([&Caller] { return !Caller.Received.empty(); });
  STRCMP_CONTAINS("HTTP/1.1 504", Caller.Received.c_str());
  CHECK_TRUE(crashReported());
}

// The target is slow but alive.
TEST(CrashDetection, aSlowTargetThatKeepsRunningIsNotReported) {
  addTarget([](const received_request &) { return target_action{}; });
  const std::string Response = fetch(PostRequest);
  STRCMP_CONTAINS("HTTP/1.1 504", Response.c_str());
  CHECK_FALSE(crashReported());
}
