// The gateway between callers' sockets and scripted targets: every caller gets
// its own complete response, and a request that may have run is never reported
// as not run.

#include "fulmar/base/stallmonitor.h"
#include "fulmar/testing/property.h"
#include "tests/gatewayfixture.h"

#include <thread>

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

namespace {

constexpr const char *Refusal =
    "HTTP/1.1 503 Full\r\nT-Request: id1\r\nT-Not-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";

} // namespace

TEST_GROUP_BASE(Gateway, gateway_fixture){};

TEST(Gateway, forwardsTheRequestUnchangedAndReturnsTheWholeResponse) {
  addTarget([](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "whole body")};
  });
  const std::string Response =
      fetch(request("POST", "/write/x?y=1", "some body",
                    "T-Deadline: 700\r\nX-Kept: 1\r\nX-Own: 2\r\n"
                    "Connection: keep-alive, X-Own\r\n"));
  STRCMP_CONTAINS("HTTP/1.1 200 OK", Response.c_str());
  STRCMP_CONTAINS("T-Signature: s", Response.c_str());
  STRCMP_CONTAINS("whole body", Response.c_str());
  const received_request &Received = Targets[0]->requests().at(0);
  STRCMP_EQUAL("/write/x?y=1", Received.Target.c_str());
  STRCMP_EQUAL("some body", Received.Body.c_str());
  CHECK_TRUE(headerOf(Received.Fields, "X-Kept") == "1");
  CHECK_TRUE(headerOf(Received.Fields, "X-Own").empty());
  CHECK_TRUE(headerOf(Received.Fields, "T-Expect") == "t0");
  const auto Left = parseWhole(headerOf(Received.Fields, "T-Deadline"));
  CHECK_TRUE(Left && *Left <= 700 && *Left > 500);
}

TEST(Gateway, anUnknownRouteIs404AndNoPlanIs503) {
  STRCMP_CONTAINS("HTTP/1.1 503", fetch(request("GET", "/read/x")).c_str());
  apply();
  STRCMP_CONTAINS("HTTP/1.1 404", fetch(request("GET", "/other/x")).c_str());
}

TEST(Gateway, aRefusedRequestIsRetriedOnceAndThenRefused) {
  for (int Number = 0; Number < 3; ++Number)
    addTarget([](const received_request &) {
      return target_action{.Bytes = Refusal};
    });
  const std::string Response = fetch(request("POST", "/write/x", "b"));
  STRCMP_CONTAINS("HTTP/1.1 503", Response.c_str());
  STRCMP_CONTAINS("Retry-After: ", Response.c_str());
  // The route allows two attempts.
  CHECK_EQUAL(2U, requestCount());
}

TEST(Gateway, aRequestThatMayHaveRunIsNotRetriedAndGets502) {
  for (int Number = 0; Number < 2; ++Number)
    addTarget(
        [](const received_request &) { return target_action{.Close = true}; });
  STRCMP_CONTAINS("HTTP/1.1 502",
                  fetch(request("POST", "/write/x", "b")).c_str());
  CHECK_EQUAL(1U, requestCount());
}

TEST(Gateway, anIdempotentRequestIsRetriedAfterABrokenConnection) {
  addTarget(
      [](const received_request &) { return target_action{.Close = true}; });
  addTarget([](const received_request &) {
    return target_action{.Bytes = "HTTP/1.1 200 OK\r\nT-Signature: s\r\n"
                                  "Content-Length: 50\r\n\r\nhalf",
                         .Close = true};
  });
  // Neither a broken nor a truncated response reaches the caller as a success.
  STRCMP_CONTAINS("HTTP/1.1 502", fetch(request("GET", "/read/x")).c_str());
  CHECK_EQUAL(2U, requestCount());
}

TEST(Gateway, unsignedAndEncodedResponsesAreNotPassedOnAsSuccess) {
  addTarget([](const received_request &Request) {
    const bool Encoded = Request.Target == "/write/encoded";
    return target_action{
        .Bytes =
            std::string("HTTP/1.1 200 OK\r\nT-Request: id1\r\n") +
            (Encoded ? "T-Signature: s\r\nContent-Encoding: gzip\r\n" : "") +
            "Content-Length: 2\r\n\r\nhi"};
  });
  STRCMP_CONTAINS("HTTP/1.1 502",
                  fetch(request("POST", "/write/encoded", "b")).c_str());
  STRCMP_CONTAINS("HTTP/1.1 502",
                  fetch(request("POST", "/write/unsigned", "b")).c_str());
}

TEST(Gateway, aDuplicateResponseIsDropped) {
  addTarget([](const received_request &Request) {
    const std::string Own = scripted_target::ok(Request, "own");
    // Every response is sent twice.
    return target_action{.Bytes = Own + Own};
  });
  for (int Number = 0; Number < 3; ++Number) {
    const std::string Id = "id" + std::to_string(Number);
    const std::string Response =
        fetch("GET /read/x HTTP/1.1\r\nHost: a.example\r\nT-Request: " + Id +
              "\r\nT-Deadline: 900\r\n\r\n");
    STRCMP_CONTAINS(("T-Request: " + Id).c_str(), Response.c_str());
    CHECK_EQUAL(Response.find("HTTP/1.1"), Response.rfind("HTTP/1.1"));
  }
}

TEST(Gateway, aLateResponseToAnotherRequestIsSkipped) {
  addTarget([](const received_request &Request) {
    return target_action{
        .Bytes = "HTTP/1.1 200 OK\r\nT-Request: other\r\nT-Signature: s\r\n"
                 "Content-Length: 5\r\n\r\nother" +
                 scripted_target::ok(Request, "mine")};
  });
  const std::string Response = fetch(request("GET", "/read/x"));
  STRCMP_CONTAINS("mine", Response.c_str());
  CHECK_TRUE(Response.find("other") == std::string::npos);
}

TEST(Gateway, aSignedServerErrorIsPassedOnUnchanged) {
  addTarget([](const received_request &Request) {
    std::string Bytes = scripted_target::ok(Request, "broken");
    Bytes.replace(0, 15, "HTTP/1.1 500 No");
    return target_action{.Bytes = Bytes};
  });
  const std::string Response = fetch(request("POST", "/write/x", "b"));
  STRCMP_CONTAINS("HTTP/1.1 500", Response.c_str());
  STRCMP_CONTAINS("T-Signature: s", Response.c_str());
}

TEST(Gateway, aCallerDisconnectCancelsTheRequestAtTheTarget) {
  addTarget([](const received_request &) { return target_action{}; });
  test_caller Caller(Loop);
  Caller.send(request("GET", "/read/x"));
  CHECK_TRUE(runUntil([this] { return requestCount() == 1; }));
  Caller.close();
  CHECK_TRUE(runUntil([this] { return Targets[0]->abandoned() == 1; },
                      milliseconds(400)));
}

// Guards against a request that a woken entry has run although its caller left
// and may have sent it through another entry. The probe that precedes each send
// leaves time to read the end of the caller's connection.
TEST(Gateway, aRequestWhoseCallerLeftDuringAStallIsNotRun) {
  addTarget([](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "ok")};
  });
  test_caller Waiting(Loop);
  test_caller Leaving(Loop);
  // Connections to the target are open and idle.
  for (test_caller *Caller : {&Waiting, &Leaving})
    Caller->send(request("POST", "/write/first", "x"));
  CHECK_TRUE(runUntil([this] { return requestCount() == 2; }));
  runUntil([] { return false; }, milliseconds(300));
  Leaving.send(request("POST", "/write/x", "once"));
  Leaving.close();
  Waiting.send(request("POST", "/write/y", "waits"));
  std::this_thread::sleep_for(base::stall_monitor::Threshold * 2);
  CHECK_TRUE(runUntil([this] { return requestCount() > 2; }));
  CHECK_FALSE(
      runUntil([this] { return requestCount() > 3; }, milliseconds(300)));
  STRCMP_EQUAL("/write/y", Targets[0]->requests().back().Target.c_str());
}

TEST(Gateway, theRouteTimeoutIsEnforced) {
  addTarget([](const received_request &) { return target_action{}; });
  const base::instant StartedAt = Loop.now();
  STRCMP_CONTAINS("HTTP/1.1 504",
                  fetch(request("POST", "/write/x", "b")).c_str());
  CHECK_TRUE(Loop.now() - StartedAt < milliseconds(1'400));
  CHECK_TRUE(runUntil([this] { return Targets[0]->abandoned() == 1; }));
}

TEST(Gateway, aRequestToASlowTargetIsHedged) {
  int Requests = 0;
  const auto FirstHangs = [&Requests](const received_request &Request) {
    return ++Requests == 1
               ? target_action{}
               : target_action{.Bytes = scripted_target::ok(Request, "second")};
  };
  addTarget(FirstHangs);
  addTarget(FirstHangs);
  STRCMP_CONTAINS("second", fetch(request("GET", "/read/x")).c_str());
}

TEST(Gateway, aRequestWaitsForFullTargetsAndIsThenRefused) {
  addTarget([](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "ran")};
  });
  Targets[0]->setLoad("4,0,4,100");
  const base::instant StartedAt = Loop.now();
  test_caller Waits(Loop);
  Waits.send(request("GET", "/read/x"));
  const base::instant FreeAt = StartedAt + milliseconds(150);
  runUntil([this, FreeAt] { return Loop.now() > FreeAt; });
  CHECK_EQUAL(0U, requestCount());
  Targets[0]->setLoad("0,0,4,100");
  CHECK_TRUE(runUntil([&Waits] { return !Waits.Received.empty(); }));
  STRCMP_CONTAINS("ran", Waits.Received.c_str());
  Targets[0]->setLoad("4,0,4,100");
  const std::string Response = fetch(request("GET", "/read/x"));
  STRCMP_CONTAINS("HTTP/1.1 503", Response.c_str());
  STRCMP_CONTAINS("Retry-After: ", Response.c_str());
  CHECK_EQUAL(1U, requestCount());
  Waits.close();
}

TEST(Gateway, probesThatAreAllAnsweredLateAreAwaited) {
  // Happens when a large body saturates this instance's link.
  for (int Number = 0; Number < 3; ++Number) {
    addTarget([](const received_request &Request) {
      return target_action{.Bytes = scripted_target::ok(Request, "ran")};
    });
    Targets.back()->setHealthDelay(milliseconds(140));
  }
  const base::instant StartedAt = Loop.now();
  STRCMP_CONTAINS("ran", fetch(request("POST", "/write/x")).c_str());
  CHECK_TRUE(Loop.now() - StartedAt < milliseconds(300));
}

TEST(Gateway, aTargetWithAnUnexpectedIdIsNotUsed) {
  addTarget([](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "wrong")};
  });
  fleet_view View{.Serial = 1,
                  .Plan = std::make_shared<fleet::routing_plan>(Plan),
                  .Entries = {"e"}};
  View.Targets.push_back({.Id = "somebody-else",
                          .Service = "s",
                          .DataCentre = "pos",
                          .Address = Targets[0]->address(),
                          .Slots = 4,
                          .StartedAtMs = 1});
  Gateway.apply(View);
  STRCMP_CONTAINS("HTTP/1.1 503", fetch(request("GET", "/read/x")).c_str());
  CHECK_EQUAL(0U, requestCount());
}

TEST(Gateway, malformedRequestsAreRejectedAndNotForwarded) {
  addTarget([](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "ran")};
  });
  STRCMP_CONTAINS("HTTP/1.1 400", fetch("nonsense\r\n\r\n").c_str());
  STRCMP_CONTAINS("HTTP/1.1 431", fetch("GET /read/x HTTP/1.1\r\nX: " +
                                        std::string(20'000, 'x') + "\r\n\r\n")
                                      .c_str());
  // Request smuggling: a second request hidden by conflicting lengths.
  const std::string SmuggledResponse =
      fetch("POST /write/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/x "
            "HTTP/1.1\r\nHost: a.example\r\n\r\n");
  STRCMP_CONTAINS("HTTP/1.1 400", SmuggledResponse.c_str());
  CHECK_EQUAL(0U, requestCount());
}

TEST(Gateway, chunkedRequestBodiesAreForwardedWhole) {
  addTarget([](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "ran")};
  });
  STRCMP_CONTAINS("ran",
                  fetch("POST /write/x HTTP/1.1\r\nHost: a.example\r\n"
                        "T-Request: id1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
                      .c_str());
  STRCMP_EQUAL("abcdefg", Targets[0]->requests().at(0).Body.c_str());
}

TEST(Gateway, theDeadlineOfASlowUploadCountsFromItsHead) {
  addTarget([](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "ran")};
  });
  test_caller Caller(Loop);
  const std::string Whole =
      request("POST", "/write/x", "body", "T-Deadline: 900\r\n");
  Caller.send(Whole.substr(0, Whole.size() - 2));
  const base::instant LaterAt = Loop.now() + milliseconds(500);
  runUntil([this, LaterAt] { return Loop.now() > LaterAt; });
  Caller.send(Whole.substr(Whole.size() - 2));
  CHECK_TRUE(runUntil([&Caller] { return !Caller.Received.empty(); }));
  STRCMP_CONTAINS("ran", Caller.Received.c_str());
  const auto Left =
      parseWhole(headerOf(Targets[0]->requests().at(0).Fields, "T-Deadline"));
  CHECK_TRUE(Left && *Left <= 400);
  Caller.close();
}

TEST(Gateway, stoppingAnswersRequestsThatCannotFinish) {
  Plan.Routes[0].TimeoutMs = Plan.Routes[1].TimeoutMs = 10'000;
  addTarget([](const received_request &) { return target_action{}; });
  test_caller Runs(Loop);
  Runs.send(request("POST", "/write/x", "b", "T-Deadline: 9000\r\n"));
  CHECK_TRUE(runUntil([this] { return requestCount() == 1; }));
  Targets[0]->setLoad("4,0,4,100");
  Plan.Routes[1].ObjectiveMs = 9'000;
  ++Plan.Version;
  apply();
  test_caller Waits(Loop);
  Waits.send(request("POST", "/write/x", "b", "T-Deadline: 9000\r\n"));
  bool Stopped = false;
  Gateway.stop([&Stopped] { Stopped = true; });
  CHECK_TRUE(runUntil([&Stopped] { return Stopped; }));
  STRCMP_CONTAINS("HTTP/1.1 502", Runs.Received.c_str());
  // It was never sent, so the status may promise that it did not run.
  STRCMP_CONTAINS("HTTP/1.1 503", Waits.Received.c_str());
  STRCMP_CONTAINS("Retry-After: ", Waits.Received.c_str());
  Runs.close();
  Waits.close();
}

TEST(Gateway, connectionsInTheBacklogAreServedWhenAcceptingEnds) {
  addTarget([](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "ran")};
  });
  bool Stopped = false;
  Gateway.stop([&Stopped] { Stopped = true; });
  const base::instant BeforeEnd = Loop.now() + milliseconds(540);
  runUntil([this, BeforeEnd] { return Loop.now() > BeforeEnd; });
  // The loop is blocked while these connect, until accepting ends.
  constexpr int Count = 20;
  std::vector<std::unique_ptr<test_caller>> Callers;
  for (int Number = 0; Number < Count; ++Number) {
    Callers.push_back(std::make_unique<test_caller>(Loop));
    Callers.back()->send(request("GET", "/read/x"));
  }
  std::this_thread::sleep_for(milliseconds(120));
  CHECK_TRUE(runUntil([&Stopped] { return Stopped; }));
  for (const auto &Caller : Callers) {
    STRCMP_CONTAINS("ran", Caller->Received.c_str());
    Caller->close();
  }
}

TEST(Gateway, stoppingFinishesRunningRequestsAndClosesConnections) {
  addTarget([](const received_request &) { return target_action{}; });
  test_caller Caller(Loop);
  Caller.send(request("POST", "/write/x", "b"));
  CHECK_TRUE(runUntil([this] { return requestCount() == 1; }));
  CHECK_TRUE(Gateway.ready());
  bool Stopped = false;
  Gateway.stop([&Stopped] { Stopped = true; });
  CHECK_FALSE(Gateway.ready());
  CHECK_TRUE(runUntil([&Stopped] { return Stopped; }));
  // The running request got its response before the end.
  STRCMP_CONTAINS("HTTP/1.1 504", Caller.Received.c_str());
  STRCMP_CONTAINS("Connection: close", Caller.Received.c_str());
  Caller.close();
}
