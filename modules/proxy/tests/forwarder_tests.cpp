// The forwarder between real sockets: whole answers, headers, refusals.

#include "frontfixture.h"

#include <CppUTest/TestHarness.h>

using namespace fulmar;
using namespace fulmar::proxy;
using namespace fulmar::proxy::tests;

namespace {

/// Answers each request with the head that it received.
fake_target::script showingHeads(const std::string &Headers = "") {
  return fake_target::serving([Headers](connection &Peer,
                                        const received_request &Request) {
    sendText(Peer, fixedAnswer(textOf(Request.Head) + Request.Body, Headers));
    return true;
  });
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

std::string header(const received_answer &Answer, const std::string &Name) {
  return Answer.Head.get(Name, "");
}

} // namespace

// clang-format off
TEST_GROUP(Forwarder) { front_fixture Fixture; };
// clang-format on

TEST(Forwarder, servesOverKeptConnections) {
  fake_target Target(
      showingHeads("Fulmar-Load: 0.25\r\nFulmar-Incarnation: i1\r\n"));
  test_caller Caller(Fixture.start({Target.address()}));
  CHECK(contains(Caller.get("/s/a?b=c").Body, "GET /s/a?b=c HTTP/1.1"));
  CHECK(contains(Caller.post("/s/b", "text").Body, "\r\n\r\ntext"));
  LONGS_EQUAL(1, Target.connections());
  LONGS_EQUAL(0, Fixture.Router.open());
  LONGS_EQUAL(2, Fixture.Observer.seen().size());
  DOUBLES_EQUAL(0.25, *Fixture.Observer.seen()[0].Load, 0.001);
  STRCMP_EQUAL("i1", Fixture.Observer.seen()[0].Incarnation->c_str());
}

TEST(Forwarder, refusalsFollowTheTable) {
  test_caller Caller(Fixture.start({}));
  Fixture.Policy.MaxBodyBytes = 10;
  struct refused_case {
    std::string Path, Headers, Name;
    int Status;
    bool NotRun;
  };
  const std::string Trace = "Fulmar-Request-Id: mine\r\n";
  const std::vector<refused_case> Cases = {
      {"/other/x", Trace, "unknown-service", 404, true},
      {"/", Trace, "unknown-service", 404, true},
      {"/s/x", Trace, "saturated", 503, true},
      {"/s/x", Trace + "Fulmar-Deadline-Ms: x\r\n", "bad-request", 400, true},
      {"/s/x", Trace + "Fulmar-Deadline-Ms: 0\r\n", "deadline-passed", 504,
       true},
      {"/s/x", Trace + "Fulmar-Priority: 10\r\n", "bad-request", 400, true},
      {"/s/x", Trace + "Idempotency-Key: \r\n", "bad-request", 400, false}};
  for (const refused_case &Case : Cases) {
    const auto Answer = Caller.get(Case.Path, Case.Headers);
    LONGS_EQUAL(Case.Status, Answer.status());
    STRCMP_EQUAL(Case.Name.c_str(), header(Answer, "Fulmar-Error").c_str());
    CHECK_EQUAL(Case.NotRun, Answer.Head.has("Fulmar-Not-Run"));
    STRCMP_EQUAL("mine", header(Answer, "Fulmar-Request-Id").c_str());
    CHECK(contains(Answer.Body, "\"error\":\"" + Case.Name + "\""));
  }
  const auto Busy = Caller.get("/s/x");
  STRCMP_EQUAL("1", header(Busy, "Retry-After").c_str());
  STRCMP_EQUAL("127.0.0.1:1", header(Busy, "Fulmar-Entries").c_str());
  LONGS_EQUAL(413, Caller.post("/s/x", "eleven byte").status());
}

TEST(Forwarder, badFramingIsRefusedAndClosed) {
  const std::string Address = Fixture.start({});
  for (const char *Lines :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n", "Content-Length: x\r\n",
        "Bad Name: x\r\n"}) {
    test_caller Caller(Address);
    Caller.send("POST /s/x HTTP/1.1\r\nHost: t\r\n" + std::string(Lines) +
                "\r\nhello");
    const auto Answer = Caller.receive();
    LONGS_EQUAL(400, Answer.status());
    STRCMP_EQUAL("close", header(Answer, "Connection").c_str());
    CHECK(Caller.raw().fill(soon()) == io_status::Closed);
  }
  test_caller Caller(Address);
  Caller.send("GET /s/x HTTP/1.1\r\nX: " + std::string(MaxHeadBytes, 'x'));
  LONGS_EQUAL(431, Caller.receive().status());
  LONGS_EQUAL(0, Fixture.Router.profiles().size());
}

TEST(Forwarder, headersOfTheSystemStayHonest) {
  fake_target Target(showingHeads(
      "Fulmar-Not-Run: true\r\nFulmar-Error: saturated\r\nX-Own: kept\r\n"
      "Fulmar-Entries: 6.6.6.6:6\r\nFulmar-Replayed: true\r\n"));
  test_caller Caller(Fixture.start({Target.address()}));
  const auto Answer =
      Caller.get("/s/x", "Fulmar-Deadline-Ms: 5000\r\nExpect: 100-continue\r\n"
                         "traceparent: 00-0af7651916cd43dd8448eb211c80319c-"
                         "b7ad6b7169203331-01\r\n");
  LONGS_EQUAL(200, Answer.status());
  STRCMP_EQUAL("kept", header(Answer, "X-Own").c_str());
  for (const char *Name :
       {"Fulmar-Not-Run", "Fulmar-Error", "Fulmar-Entries", "Fulmar-Replayed"})
    CHECK_FALSE_TEXT(Answer.Head.has(Name), Name);
  CHECK(contains(Answer.Body,
                 "traceparent: 00-0af7651916cd43dd8448eb211c80319c-"));
  CHECK(!contains(Answer.Body, "b7ad6b7169203331"));
  CHECK(contains(Answer.Body, "Fulmar-Request-Id: entry-t/1/1.1"));
  CHECK(!contains(Answer.Body, "Expect"));
  const auto At = Answer.Body.find("Fulmar-Deadline-Ms: ");
  const int Left = std::stoi(Answer.Body.substr(At + 20));
  CHECK(Left > 0 && Left <= 5000);
}

TEST(Forwarder, profilesSayWhatTheRouterNeeds) {
  fake_target Target(showingHeads());
  test_caller Caller(Fixture.start({Target.address()}));
  Caller.get("/s/x", "Fulmar-Priority: 2\r\n");
  Caller.post("/other/x", "a", "Fulmar-Service: s\r\nIdempotency-Key: k\r\n");
  Caller.post("/s/x", "a");
  Caller.post("/s/x", "b");
  Caller.post("/s/x", std::string(100000, 'c'));
  const auto Profiles = Fixture.Router.profiles();
  LONGS_EQUAL(5, Profiles.size());
  CHECK(Profiles[0].Idempotent && Profiles[0].Replayable);
  LONGS_EQUAL(2, Profiles[0].Priority);
  CHECK(!Profiles[1].Idempotent && Profiles[1].IdempotencyKey == "k");
  CHECK(Profiles[2].Fingerprint != Profiles[3].Fingerprint);
  CHECK(!Profiles[4].Replayable);
}

TEST(Forwarder, answersWithoutABodyHaveNone) {
  fake_target Target(fake_target::serving(
      [](connection &Peer, const received_request &Request) {
        if (Request.Head.getMethod() == "HEAD")
          sendText(Peer, "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
        else if (Request.Head.getURI() == "/s/204")
          sendText(Peer, "HTTP/1.1 204 No Content\r\n\r\n");
        else
          sendText(Peer, "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n"
                         "ETag: \"e\"\r\n\r\n");
        return true;
      }));
  test_caller Caller(Fixture.start({Target.address()}));
  Caller.send("HEAD /s/x HTTP/1.1\r\nHost: t\r\n\r\n");
  const auto Head = Caller.receive("HEAD");
  STRCMP_EQUAL("77", header(Head, "Content-Length").c_str());
  LONGS_EQUAL(204, Caller.get("/s/204").status());
  LONGS_EQUAL(304, Caller.get("/s/304").status());
  LONGS_EQUAL(204, Caller.get("/s/204").status());
  LONGS_EQUAL(1, Target.connections());
}

TEST(Forwarder, anAnswerUpToTheEndOfTheConnectionBecomesChunked) {
  fake_target Target(
      fake_target::serving([](connection &Peer, const received_request &) {
        sendText(Peer, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
                           std::string(100000, 'z'));
        return false;
      }));
  test_caller Caller(Fixture.start({Target.address()}));
  const auto Answer = Caller.get("/s/x");
  CHECK(Answer.complete());
  STRCMP_EQUAL("chunked", header(Answer, "Transfer-Encoding").c_str());
  LONGS_EQUAL(100000, Answer.Body.size());
}
