// Services that a plan drops while requests to them are under way, and that a
// later plan may bring back.

#include "fulmar/testing/property.h"
#include "tests/gatewayfixture.h"

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

TEST_GROUP_BASE(RetiredServices, gateway_fixture) {
  /// Targets that are no longer listed and still answer.
  std::vector<std::unique_ptr<scripted_target>> Departed;

  void applyPlan(std::vector<fleet::service> Services,
                 std::vector<fleet::route> Routes) {
    Plan.Services = std::move(Services);
    Plan.Routes = std::move(Routes);
    ++Plan.Version;
    apply();
  }
  /// A plan without the service of the other tests.
  void retireService() {
    applyPlan({{.Name = "other", .HealthPath = "/healthz"}}, {});
  }
  void depart() {
    for (auto &Target : Targets)
      Departed.push_back(std::move(Target));
    Targets.clear();
    apply();
  }
  std::size_t departedRequestCount() const {
    std::size_t Count = 0;
    for (const auto &Target : Departed)
      Count += Target->requests().size();
    return Count;
  }
};

// Guards against a request that is hedged to targets whose departure was
// acknowledged after the plan had dropped their service.
TEST(RetiredServices, targetsThatLeaveGetNoFurtherRequests) {
  for (int Number = 0; Number < 3; ++Number)
    addTarget([](const received_request &) { return target_action{}; });
  test_caller Caller(Loop);
  Caller.send(request("GET", "/read/x"));
  CHECK_TRUE(runUntil([this] { return requestCount() == 1; }));
  retireService();
  depart();
  CHECK_TRUE(runUntil([&Caller] { return !Caller.Received.empty(); }));
  STRCMP_CONTAINS("HTTP/1.1 504", Caller.Received.c_str());
  CHECK_EQUAL(1U, departedRequestCount());
}

// Guards against a service whose requests in flight are forgotten, so that its
// targets look idle, when a plan drops it and the next one brings it back.
TEST(RetiredServices, aServiceThatIsBackHasItsTargetsAndTheirDepartures) {
  for (int Number = 0; Number < 3; ++Number)
    addTarget([](const received_request &) { return target_action{}; });
  const fleet::routing_plan Before = Plan;
  test_caller Caller(Loop);
  Caller.send(request("GET", "/read/x"));
  CHECK_TRUE(runUntil([this] { return requestCount() == 1; }));
  retireService();
  applyPlan(Before.Services, Before.Routes);
  depart();
  CHECK_TRUE(runUntil([&Caller] { return !Caller.Received.empty(); }));
  CHECK_EQUAL(1U, departedRequestCount());
}

TEST(RetiredServices, aRequestUnderWayIsServedByTargetsThatStay) {
  for (int Number = 0; Number < 3; ++Number)
    addTarget([](const received_request &Request) {
      return target_action{.Bytes = scripted_target::ok(Request, "ran"),
                           .ResponseDelay = milliseconds(100)};
    });
  test_caller Caller(Loop);
  Caller.send(request("GET", "/read/x"));
  CHECK_TRUE(runUntil([this] { return requestCount() == 1; }));
  retireService();
  CHECK_TRUE(runUntil([&Caller] { return !Caller.Received.empty(); }));
  STRCMP_CONTAINS("HTTP/1.1 200", Caller.Received.c_str());
}

// Guards against a target that says that it is leaving in a response of a
// service that the plan has dropped, and gets another request.
TEST(RetiredServices, aTargetThatSaysItLeavesGetsNoFurtherRequests) {
  for (int Number = 0; Number < 2; ++Number)
    addTarget([](const received_request &Request) {
      if (Request.Target == "/read/hangs")
        return target_action{};
      std::string Bytes = scripted_target::ok(Request, "ran");
      Bytes.insert(Bytes.find("T-Signature"), "T-Leaving: 1\r\n");
      return target_action{.Bytes = Bytes, .ResponseDelay = milliseconds(100)};
    });
  test_caller Answered(Loop);
  Answered.send(request("GET", "/read/x"));
  CHECK_TRUE(runUntil([this] { return requestCount() == 1; }));
  test_caller Hangs(Loop);
  Hangs.send(request("GET", "/read/hangs"));
  CHECK_TRUE(runUntil([this] { return requestCount() == 2; }));
  // The second target was idle.
  CHECK_EQUAL(1U, Targets[0]->requests().size());
  retireService();
  CHECK_TRUE(runUntil([&Answered] { return !Answered.Received.empty(); }));
  CHECK_TRUE(runUntil([&Hangs] { return !Hangs.Received.empty(); }));
  CHECK_EQUAL(2U, requestCount());
}

// Guards against a plan that drops a service and one that brings it back, which
// together grant its retries twice within one window.
TEST(RetiredServices, aServiceThatIsBackHasSpentItsRetries) {
  const std::string Address = "127.0.0.1:18561";
  class gateway Frugal(Loop,
                       {.ListenAddress = Address,
                        .HeaderNames = testHeaderNames(),
                        .InstanceId = "e",
                        .DataCentre = "pos",
                        .RetryBudget = {.Ratio = 0, .Slack = 4}},
                       Metrics);
  CHECK_TRUE(Frugal.start().has_value());
  for (int Number = 0; Number < 2; ++Number)
    addTarget([](const received_request &) {
      return target_action{
          .Bytes = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"};
    });
  const auto FailedSends = [&] {
    const std::size_t Before = requestCount();
    for (int Number = 0; Number < 4; ++Number) {
      test_caller Caller(Loop, true, Address);
      Caller.send(request("GET", "/read/x"));
      CHECK_TRUE(runUntil([&Caller] { return !Caller.Received.empty(); }));
    }
    return requestCount() - Before;
  };
  const fleet::routing_plan Before = Plan;
  Frugal.apply(currentView());
  // The budget spends half of the slack.
  const std::size_t First = FailedSends();
  CHECK_EQUAL(6U, First);
  const std::size_t Second = FailedSends();
  CHECK_EQUAL(4U, Second);
  // Requests that have ended no longer hold the service.
  runUntil([] { return false; }, std::chrono::seconds(2));
  retireService();
  Frugal.apply(currentView());
  applyPlan(Before.Services, Before.Routes);
  Frugal.apply(currentView());
  const std::size_t Returned = FailedSends();
  CHECK_EQUAL(4U, Returned);
}
