// The forwarder between real sockets: whole answers, refusals, attempts.

#include "frontfixture.h"

#include <CppUTest/TestHarness.h>

using namespace fulmar;
using namespace fulmar::proxy;
using namespace fulmar::proxy::tests;
using routing::attempt_end;

namespace {

fake_target::script echoing() {
  return fake_target::serving(
      [](connection &Peer, const received_request &Request) {
        sendText(Peer, fixedAnswer(Request.Head.getURI() + " " + Request.Body,
                                   "Fulmar-Load: 0.25\r\n"
                                   "Fulmar-Incarnation: i1\r\n"));
        return true;
      });
}

} // namespace

TEST_GROUP(Forwarder) { front_fixture Fixture; };

TEST(Forwarder, servesOverKeptConnections) {
  fake_target Target(echoing());
  test_caller Caller(Fixture.start({Target.address()}));
  STRCMP_EQUAL("/s/a ", Caller.get("/s/a").Body.c_str());
  STRCMP_EQUAL("/s/b text", Caller.post("/s/b", "text").Body.c_str());
  LONGS_EQUAL(1, Target.connections());
  LONGS_EQUAL(0, Fixture.Router.open());
  LONGS_EQUAL(2, Fixture.Observer.seen().size());
  DOUBLES_EQUAL(0.25, *Fixture.Observer.seen()[0].Load, 0.001);
}

TEST(Forwarder, namesUnknownServices) {
  test_caller Caller(Fixture.start({}));
  const auto Answer = Caller.get("/other/x");
  LONGS_EQUAL(404, Answer.status());
  STRCMP_EQUAL("unknown-service", Answer.Head.get("Fulmar-Error").c_str());
  STRCMP_EQUAL("true", Answer.Head.get("Fulmar-Not-Run").c_str());
}
