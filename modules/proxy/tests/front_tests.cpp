// The listening server: own paths, draining, stopping, taken ports; and the
// bounds of the connection pool.

#include "frontfixture.h"

#include <atomic>

#include <CppUTest/TestHarness.h>

using namespace fulmar;
using namespace fulmar::proxy;
using namespace fulmar::proxy::tests;

// clang-format off
TEST_GROUP(Front) { front_fixture Fixture; };
// clang-format on

TEST(Front, servesItsOwnPathsAndNeverForwardsThem) {
  Fixture.Front->handle(
      "POST", "/.fulmar/echo", [](const plain_request &Asked) {
        return plain_answer{.Status = 201,
                            .Body = Asked.Body + Asked.Query.at("q"),
                            .Headers = {{"X-Own", "1"}}};
      });
  test_caller Caller(Fixture.start({}));
  const auto Answer = Caller.post("/.fulmar/echo?q=a%20b", "body ");
  LONGS_EQUAL(201, Answer.status());
  STRCMP_EQUAL("body a b", Answer.Body.c_str());
  LONGS_EQUAL(404, Caller.get("/.fulmar/echo?q=a").status());
  LONGS_EQUAL(404, Caller.get("/.fulmar/other").status());
  LONGS_EQUAL(400, Caller.get("/.fulmar/echo?%zz").status());
  LONGS_EQUAL(0, Fixture.Router.profiles().size());
}

TEST(Front, aTakenPortIsAClearError) {
  const std::string Address = Fixture.start({});
  http_front Second([](caller_exchange &) {});
  const auto Started = Second.start({.Listen = Address});
  CHECK(!Started.has_value());
  CHECK(Started.error().Message.find(Address) != std::string::npos);
}

TEST(Front, pipelinedRequestsAreAnsweredInOrder) {
  fake_target Target(fake_target::serving(
      [](connection &Peer, const received_request &Request) {
        sendText(Peer, fixedAnswer(Request.Head.getURI()));
        return true;
      }));
  test_caller Caller(Fixture.start({Target.address()}));
  Caller.send("GET /s/1 HTTP/1.1\r\nHost: t\r\n\r\n"
              "GET /s/2 HTTP/1.1\r\nHost: t\r\n\r\n");
  STRCMP_EQUAL("/s/1", Caller.receive().Body.c_str());
  STRCMP_EQUAL("/s/2", Caller.receive().Body.c_str());
}

TEST(Front, aGracefulStopCutsNoRequest) {
  std::atomic<int> Arrived{0};
  std::atomic<bool> Release{false};
  fake_target Target(
      fake_target::serving([&](connection &Peer, const received_request &) {
        ++Arrived;
        eventually([&] { return Release.load(); });
        sendText(Peer, fixedAnswer("whole"));
        return true;
      }));
  const std::string Address = Fixture.start({Target.address()});
  test_caller Idle(Address);
  constexpr int Callers = 8;
  std::atomic<int> Whole{0};
  std::atomic<int> Closing{0};
  std::vector<std::thread> Threads;
  for (int Number = 0; Number < Callers; ++Number)
    Threads.emplace_back([&] {
      const auto Answer = test_caller(Address).get("/s/x");
      Whole += Answer.complete() && Answer.Body == "whole";
      Closing += Answer.Head.get("Connection", "") == "close";
    });
  CHECK(eventually([&] { return Arrived == Callers; }));
  Fixture.Front->beginStop();
  const auto Remaining = Fixture.Front->waitIdle(currentInstant());
  LONGS_EQUAL(Callers, Remaining.size());
  STRCMP_EQUAL("/s/x", Remaining[0].Path.c_str());
  STRCMP_EQUAL("GET", Remaining[0].Method.c_str());
  // A request that arrives while the server drains is served, too.
  Idle.send("GET /s/late HTTP/1.1\r\nHost: t\r\n\r\n");
  CHECK(eventually([&] { return Arrived == Callers + 1; }));
  Release = true;
  const auto Late = Idle.receive();
  CHECK(Late.complete());
  STRCMP_EQUAL("close", Late.Head.get("Connection", "").c_str());
  LONGS_EQUAL(0, Fixture.Front->waitIdle(soon()).size());
  Fixture.Front->stop();
  for (std::thread &Thread : Threads)
    Thread.join();
  LONGS_EQUAL(Callers, Whole);
  LONGS_EQUAL(Callers, Closing);
}

TEST(Front, stopWaitsForRequestsAndClosesIdleConnections) {
  fake_target Target(
      fake_target::serving([](connection &Peer, const received_request &) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        sendText(Peer, fixedAnswer("whole"));
        return true;
      }));
  const std::string Address = Fixture.start({Target.address()});
  test_caller Idle(Address);
  CHECK(Idle.get("/s/x").complete());
  test_caller Busy(Address);
  Busy.send("GET /s/x HTTP/1.1\r\nHost: t\r\n\r\n");
  CHECK(eventually([&] { return Fixture.Front->inFlight() == 1; }));
  Fixture.Front->stop();
  CHECK(Busy.receive().complete());
  CHECK(Idle.raw().fill(soon()) == io_status::Closed);
}

TEST(Front, thePoolKeepsItsBounds) {
  fake_target Target([](connection &Peer) { Peer.fill(soon()); });
  connection_pool Pool({.MaxIdlePerTarget = 2, .MaxIdle = 3});
  const std::string Address = Target.address();
  const auto Opened = [&] { return Pool.open(Address, TestPatience).value(); };
  for (int Number = 0; Number < 4; ++Number)
    Pool.put(Address, "i1", Opened());
  LONGS_EQUAL(2, Pool.idle());
  LONGS_EQUAL(4, Pool.opened());
  CHECK(Pool.take(Address, "i1", base::duration::zero()) == nullptr);
  CHECK(Pool.take(Address, "i1", TestPatience) != nullptr);
  // A new incarnation inherits no connection.
  CHECK(Pool.take(Address, "i2", TestPatience) == nullptr);
  LONGS_EQUAL(0, Pool.idle());
}
