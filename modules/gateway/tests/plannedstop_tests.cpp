// Connections whose streamed response outlasts the start of a planned stop.

#include "fulmar/testing/property.h"
#include "tests/gatewayfixture.h"

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

namespace {

/// Longer than a response that is held whole, by what is sent late.
constexpr std::size_t FirstBytes = 300'000;
constexpr std::size_t LateBytes = 1'000;
/// The fixture's gateway accepts connections for 600 ms after a stop request,
/// and ends what still runs after 1,395 ms.
constexpr auto WhileAccepting = milliseconds(200);
constexpr auto AfterAccepting = milliseconds(900);

} // namespace

TEST_GROUP_BASE(PlannedStop, gateway_fixture) {
  bool Stopped = false;

  void setup() override {
    gateway_fixture::setup();
    for (fleet::route &Route : Plan.Routes)
      Route.TimeoutMs = 5'000;
    addTarget([](const received_request &Request) {
      if (Request.Method == "POST")
        return target_action{};
      std::string Bytes = scripted_target::ok(
          Request, std::string(FirstBytes + LateBytes, '~'));
      Bytes.resize(Bytes.size() - LateBytes);
      return target_action{.Bytes = std::move(Bytes)};
    });
  }
  static std::size_t bodyBytes(const test_caller &Caller) {
    return static_cast<std::size_t>(
        std::count(Caller.Received.begin(), Caller.Received.end(), '~'));
  }
  /// Streams a response that ends \p Time after the stop request.
  void streamPastStop(test_caller & Caller, base::duration Time) {
    Caller.send(request("GET", "/read/x"));
    CHECK_TRUE(runUntil([&Caller] { return bodyBytes(Caller) == FirstBytes; }));
    Gateway.stop([this] { Stopped = true; });
    runUntil([] { return false; }, Time);
    Targets[0]->sendLate(std::string(LateBytes, '~'));
    CHECK_TRUE(runUntil(
        [&Caller] { return bodyBytes(Caller) == FirstBytes + LateBytes; }));
    Caller.Received.clear();
  }
};

// Guards against a request that is taken on a kept connection when it can no
// longer be served, and broken off at its target.
TEST(PlannedStop, aRequestAfterAcceptingHasEndedIsRefusedAtOnce) {
  test_caller Caller(Loop);
  streamPastStop(Caller, AfterAccepting);
  Caller.send(request("POST", "/write/x", "b"));
  CHECK_TRUE(runUntil([&Caller] { return !Caller.Received.empty(); },
                      milliseconds(100)));
  STRCMP_CONTAINS("HTTP/1.1 503", Caller.Received.c_str());
  STRCMP_CONTAINS("Retry-After: ", Caller.Received.c_str());
  STRCMP_CONTAINS("Connection: close", Caller.Received.c_str());
  CHECK_TRUE(runUntil([this] { return Stopped; }));
  CHECK_EQUAL(1U, requestCount());
  Caller.close();
}

TEST(PlannedStop, aRequestSentAheadIsRefusedOnceAcceptingHasEnded) {
  test_caller Caller(Loop);
  Caller.send(request("GET", "/read/x"));
  CHECK_TRUE(runUntil([&Caller] { return bodyBytes(Caller) == FirstBytes; }));
  Caller.send(request("POST", "/write/x", "b"));
  Gateway.stop([this] { Stopped = true; });
  runUntil([] { return false; }, AfterAccepting);
  Targets[0]->sendLate(std::string(LateBytes, '~'));
  CHECK_TRUE(runUntil([&Caller] {
    return Caller.Received.find("HTTP/1.1 503") != std::string::npos;
  }));
  CHECK_EQUAL(FirstBytes + LateBytes, bodyBytes(Caller));
  CHECK_TRUE(runUntil([this] { return Stopped; }));
  CHECK_EQUAL(1U, requestCount());
  Caller.close();
}

TEST(PlannedStop, aRequestWhileAcceptingIsServedAndClosesTheConnection) {
  test_caller Caller(Loop);
  streamPastStop(Caller, WhileAccepting);
  Caller.send(request("POST", "/write/x", "b"));
  CHECK_TRUE(runUntil([this] { return requestCount() == 2; }));
  Targets[0]->answerLate("ran");
  CHECK_TRUE(runUntil([&Caller] { return !Caller.Received.empty(); }));
  STRCMP_CONTAINS("HTTP/1.1 200", Caller.Received.c_str());
  STRCMP_CONTAINS("Connection: close", Caller.Received.c_str());
  CHECK_TRUE(runUntil([this] { return Stopped; }));
  Caller.close();
}
