// Attempts: when a request is sent again, when never, and whose answer counts.

#include "frontfixture.h"

#include <atomic>

#include <CppUTest/TestHarness.h>

using namespace fulmar;
using namespace fulmar::proxy;
using namespace fulmar::proxy::tests;
using routing::attempt_end;
using std::chrono::milliseconds;

namespace {

constexpr const char *NotStarted = "HTTP/1.1 503 Service Unavailable\r\n"
                                   "Fulmar-Not-Started: true\r\n"
                                   "Content-Length: 0\r\n\r\n";

fake_target::script answering(const std::string &Text) {
  return fake_target::serving(
      [Text](connection &Peer, const received_request &) {
        sendText(Peer, Text);
        return true;
      });
}

/// Takes a request and closes the connection without a byte.
fake_target::script closing(std::atomic<int> &Requests) {
  return fake_target::serving(
      [&Requests](connection &, const received_request &) {
        ++Requests;
        return false;
      });
}

std::string errorOf(const received_answer &Answer) {
  return Answer.Head.get("Fulmar-Error", "");
}

/// An address where nothing listens.
std::string closedPort() {
  return wire::listenOn("127.0.0.1:0").address().toString();
}

} // namespace

// clang-format off
TEST_GROUP(Attempts) { front_fixture Fixture; };
// clang-format on

TEST(Attempts, aRefusedRequestGoesToAnotherTarget) {
  fake_target Full(answering(NotStarted));
  fake_target Free(answering(fixedAnswer("free")));
  test_caller Caller(Fixture.start({Full.address(), Free.address()}));
  STRCMP_EQUAL("free", Caller.post("/s/x", "fee").Body.c_str());
  const auto Finished = Fixture.Router.finished();
  CHECK(Finished[0].End == attempt_end::Refused && Finished[0].BytesSent);
  CHECK(Finished[1].End == attempt_end::Answered);
}

TEST(Attempts, refusedEverywhereIsNotRun) {
  fake_target Full(answering(NotStarted));
  test_caller Caller(Fixture.start({Full.address()}));
  const auto Answer = Caller.post("/s/x", "fee");
  STRCMP_EQUAL("saturated", errorOf(Answer).c_str());
  STRCMP_EQUAL("true", Answer.Head.get("Fulmar-Not-Run", "").c_str());
}

TEST(Attempts, anUnreachableTargetIsReplacedByAnother) {
  fake_target Free(answering(fixedAnswer("free")));
  const std::string Closed = closedPort();
  test_caller Caller(Fixture.start({Closed, Free.address()}));
  STRCMP_EQUAL("free", Caller.post("/s/x", "fee").Body.c_str());
  CHECK(!Fixture.Router.finished()[0].BytesSent);
  Fixture.Router.Addresses = {Closed};
  STRCMP_EQUAL("true",
               Caller.post("/s/x", "a").Head.get("Fulmar-Not-Run", "").c_str());
}

TEST(Attempts, aBrokenNonIdempotentRequestIsNotSentAgain) {
  std::atomic<int> Requests{0};
  fake_target Breaking(closing(Requests));
  test_caller Caller(Fixture.start({Breaking.address(), Breaking.address()}));
  const auto Answer = Caller.post("/s/x", "fee");
  LONGS_EQUAL(502, Answer.status());
  STRCMP_EQUAL("outcome-unknown", errorOf(Answer).c_str());
  CHECK(!Answer.Head.has("Fulmar-Not-Run"));
  LONGS_EQUAL(1, Requests);
  Caller.get("/s/x");
  LONGS_EQUAL(3, Requests);
}

TEST(Attempts, aConnectionClosedAsARequestIsWrittenRunsNothingTwice) {
  // Each connection serves one request, reads the next one and closes.
  std::atomic<int> Runs{0};
  fake_target Target([&Runs](connection &Peer) {
    if (!receiveRequest(Peer))
      return;
    ++Runs;
    sendText(Peer, fixedAnswer("ok"));
    if (receiveRequest(Peer))
      ++Runs;
  });
  test_caller Caller(Fixture.start({Target.address(), Target.address()}));
  constexpr int Requests = 200;
  int Answered = 0;
  int Unknown = 0;
  for (int Number = 0; Number < Requests; ++Number) {
    const auto Answer = Caller.post("/s/x", "fee");
    (Answer.status() == 200 ? Answered : Unknown) += 1;
    CHECK(!Answer.Head.has("Fulmar-Not-Run"));
  }
  LONGS_EQUAL(Requests, Runs);
  LONGS_EQUAL(Requests, Answered + Unknown);
  CHECK(Unknown > 0);
  LONGS_EQUAL(Requests, Fixture.Router.finished().size());
}

TEST(Attempts, anIdleConnectionThatTheTargetClosedIsNotUsed) {
  std::atomic<int> Closed{0};
  fake_target Target([&Closed](connection &Peer) {
    if (!receiveRequest(Peer))
      return;
    sendText(Peer, fixedAnswer("ok"));
    ::shutdown(Peer.descriptor(), SHUT_WR);
    ++Closed;
    Peer.fill(soon());
  });
  test_caller Caller(Fixture.start({Target.address()}));
  constexpr int Requests = 50;
  for (int Number = 1; Number <= Requests; ++Number) {
    LONGS_EQUAL(200, Caller.post("/s/x", "fee").status());
    CHECK(eventually([&] { return Closed == Number; }));
  }
  LONGS_EQUAL(Requests, Target.connections());
}

TEST(Attempts, lateAndCrossedAnswersReachNobodyElse) {
  // Every fourth answer comes after the caller's deadline, on a connection
  // that must not carry another request.
  std::atomic<int> Requests{0};
  fake_target Target(fake_target::serving(
      [&Requests](connection &Peer, const received_request &Request) {
        constexpr int Late = 4;
        if (++Requests % Late == 0)
          std::this_thread::sleep_for(milliseconds(12));
        sendText(Peer, fixedAnswer(Request.Head.getURI()));
        return true;
      }));
  Fixture.Router.MaxAttempts = 1;
  const std::string Address = Fixture.start({Target.address()});
  constexpr int Callers = 8;
  constexpr int RequestsEach = 400;
  std::atomic<int> Own{0};
  std::atomic<int> TimedOut{0};
  std::vector<std::thread> Threads;
  for (int Number = 0; Number < Callers; ++Number)
    Threads.emplace_back([&, Number] {
      test_caller Caller(Address);
      for (int Count = 0; Count < RequestsEach; ++Count) {
        const std::string Path =
            "/s/" + std::to_string(Number) + "-" + std::to_string(Count);
        const auto Answer = Caller.get(Path, "Fulmar-Deadline-Ms: 8\r\n");
        Own +=
            Answer.status() == 200 && Answer.complete() && Answer.Body == Path;
        TimedOut += Answer.status() == 504;
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  LONGS_EQUAL(Callers * RequestsEach, Own + TimedOut);
  CHECK(Own > 0 && TimedOut > 0);
  LONGS_EQUAL(0, Fixture.Router.open());
}

TEST(Attempts, anAnswerWithAnotherRequestsIdIsNobodys) {
  fake_target Crossed(
      answering(fixedAnswer("other", "Fulmar-Request-Id: entry-t/1/99.1\r\n")));
  fake_target Right(answering(fixedAnswer("own")));
  test_caller Caller(Fixture.start({Crossed.address(), Right.address()}));
  STRCMP_EQUAL("own", Caller.get("/s/x").Body.c_str());
  STRCMP_EQUAL("outcome-unknown", errorOf(Caller.post("/s/x", "a")).c_str());
}

TEST(Attempts, bytesBehindAnAnswerTakeTheConnectionOutOfUse) {
  fake_target Target(answering(fixedAnswer("a") + fixedAnswer("stray")));
  test_caller Caller(Fixture.start({Target.address()}));
  STRCMP_EQUAL("a", Caller.get("/s/x").Body.c_str());
  STRCMP_EQUAL("a", Caller.get("/s/x").Body.c_str());
  LONGS_EQUAL(2, Target.connections());
}

TEST(Attempts, aTransientFaultOfAnIdempotentRequestIsTriedElsewhere) {
  fake_target Failing(
      answering(fixedAnswer("busy", "", "503 Service Unavailable")));
  fake_target Other(fake_target::serving(
      [](connection &Peer, const received_request &Request) {
        sendText(Peer, fixedAnswer(Request.Head.get("Fulmar-Retry", "")));
        return true;
      }));
  test_caller Caller(Fixture.start({Failing.address(), Other.address()}));
  STRCMP_EQUAL("1", Caller.get("/s/x").Body.c_str());
  // The last answer stands when the router permits no further attempt.
  Fixture.Router.MaxAttempts = 1;
  STRCMP_EQUAL("busy", Caller.get("/s/x").Body.c_str());
  Fixture.Router.MaxAttempts = 2;
  STRCMP_EQUAL("busy", Caller.post("/s/x", "fee").Body.c_str());
  LONGS_EQUAL(0, Fixture.Router.open());
}

TEST(Attempts, aCallerThatGoesCancelsItsAttempt) {
  std::atomic<bool> Arrived{false};
  std::atomic<bool> Cancelled{false};
  fake_target Target([&](connection &Peer) {
    if (!receiveRequest(Peer))
      return;
    Arrived = true;
    Cancelled = Peer.fill(soon()) != io_status::Done;
  });
  const std::string Address = Fixture.start({Target.address()});
  test_caller Caller(Address);
  Caller.send("POST /s/x HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\n"
              "Idempotency-Key: k\r\n\r\nfee");
  CHECK(eventually([&] { return Arrived.load(); }));
  Caller.close();
  CHECK(eventually([&] { return Cancelled.load(); }));
  CHECK(eventually([&] { return !Fixture.Keeper.ends().empty(); }));
  CHECK(Fixture.Router.finished()[0].End == attempt_end::Cancelled);
  // It may have run: the key must not become free again.
  CHECK(Fixture.Keeper.ends()[0] == claims::claim_end::Unknown);
}

TEST(Attempts, aSlowIdempotentRequestIsHedged) {
  std::atomic<bool> Cancelled{false};
  fake_target Slow([&](connection &Peer) {
    if (receiveRequest(Peer))
      Cancelled = Peer.fill(soon()) != io_status::Done;
  });
  fake_target Fast(answering(fixedAnswer("fast")));
  Fixture.Router.HedgeAfter = milliseconds(5);
  test_caller Caller(Fixture.start({Slow.address(), Fast.address()}));
  STRCMP_EQUAL("fast", Caller.get("/s/x").Body.c_str());
  CHECK(eventually([&] { return Cancelled.load(); }));
  LONGS_EQUAL(0, Fixture.Router.open());
  LONGS_EQUAL(1, Slow.connections());
}

TEST(Attempts, theFirstAnswerWinsOverItsHedge) {
  std::atomic<bool> Hedged{false};
  fake_target Stuck([&Hedged](connection &Peer) {
    if (!receiveRequest(Peer))
      return;
    Hedged = true;
    Peer.fill(soon());
  });
  fake_target Steady(
      fake_target::serving([&](connection &Peer, const received_request &) {
        eventually([&] { return Hedged.load(); });
        sendText(Peer, fixedAnswer("steady"));
        return true;
      }));
  Fixture.Router.HedgeAfter = milliseconds(5);
  test_caller Caller(Fixture.start({Steady.address(), Stuck.address()}));
  STRCMP_EQUAL("steady", Caller.get("/s/x").Body.c_str());
  CHECK(Hedged);
}

TEST(Attempts, aNonIdempotentRequestIsNeverHedged) {
  fake_target Steady(
      fake_target::serving([](connection &Peer, const received_request &) {
        std::this_thread::sleep_for(milliseconds(30));
        sendText(Peer, fixedAnswer("steady"));
        return true;
      }));
  fake_target Other(answering(fixedAnswer("other")));
  Fixture.Router.HedgeAfter = milliseconds(2);
  test_caller Caller(Fixture.start({Steady.address(), Other.address()}));
  STRCMP_EQUAL("steady", Caller.post("/s/x", "fee").Body.c_str());
  LONGS_EQUAL(0, Other.connections());
}

TEST(Attempts, aTargetThatNeverAnswersTimesOut) {
  fake_target Stuck([](connection &Peer) {
    if (receiveRequest(Peer))
      Peer.fill(soon());
  });
  test_caller Caller(Fixture.start({Stuck.address()}));
  const auto Answer = Caller.get("/s/x", "Fulmar-Deadline-Ms: 30\r\n");
  LONGS_EQUAL(504, Answer.status());
  STRCMP_EQUAL("target-timeout", errorOf(Answer).c_str());
  CHECK(!Answer.Head.has("Fulmar-Not-Run"));
  LONGS_EQUAL(0, Fixture.Pool.idle());
}
