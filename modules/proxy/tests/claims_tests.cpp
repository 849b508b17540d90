// Keyed requests: claimed before dispatch, never run twice.

#include "frontfixture.h"

#include <atomic>

#include <CppUTest/TestHarness.h>

using namespace fulmar;
using namespace fulmar::proxy;
using namespace fulmar::proxy::tests;
using claims::claim_end;

namespace {

const std::string Key = "Idempotency-Key: k\r\n";

} // namespace

TEST_GROUP(ProxyClaims) {
  front_fixture Fixture;
  std::atomic<int> Runs{0};
  std::atomic<bool> Breaks{false};

  fake_target::script counting(const std::string &Answer) {
    return fake_target::serving(
        [this, Answer](connection &Peer, const received_request &) {
          ++Runs;
          if (Breaks)
            return false;
          sendText(Peer, Answer);
          return true;
        });
  }

  static std::string errorOf(const received_answer &Answer) {
    return Answer.Head.get("Fulmar-Error", "");
  }
};

TEST(ProxyClaims, aRecordedAnswerIsReplayed) {
  fake_target Target(
      counting(fixedAnswer("paid", "Content-Type: text/x\r\n", "201 Created")));
  test_caller Caller(Fixture.start({Target.address()}));
  for (const bool Replayed : {false, true, true}) {
    const auto Answer = Caller.post("/s/fee", "1", Key);
    LONGS_EQUAL(201, Answer.status());
    STRCMP_EQUAL("paid", Answer.Body.c_str());
    STRCMP_EQUAL("text/x", Answer.Head.getContentType().c_str());
    CHECK_EQUAL(Replayed, Answer.Head.has("Fulmar-Replayed"));
  }
  LONGS_EQUAL(1, Runs);
}

TEST(ProxyClaims, otherContentUnderTheSameKeyIsRefused) {
  fake_target Target(counting(fixedAnswer("paid")));
  test_caller Caller(Fixture.start({Target.address()}));
  Caller.post("/s/fee", "1", Key);
  const auto Answer = Caller.post("/s/fee", "2", Key);
  LONGS_EQUAL(422, Answer.status());
  STRCMP_EQUAL("claim-mismatch", errorOf(Answer).c_str());
  LONGS_EQUAL(1, Runs);
}

TEST(ProxyClaims, aRequestInProgressIsNeitherRunNorCalledNotRun) {
  std::atomic<bool> Release{false};
  fake_target Target(
      fake_target::serving([&](connection &Peer, const received_request &) {
        ++Runs;
        eventually([&] { return Release.load(); });
        sendText(Peer, fixedAnswer("paid"));
        return true;
      }));
  const std::string Address = Fixture.start({Target.address()});
  std::thread First([&] { test_caller(Address).post("/s/fee", "1", Key); });
  CHECK(eventually([&] { return Runs == 1; }));
  const auto Answer = test_caller(Address).post("/s/fee", "1", Key);
  Release = true;
  First.join();
  LONGS_EQUAL(409, Answer.status());
  STRCMP_EQUAL("claim-in-progress", errorOf(Answer).c_str());
  CHECK(!Answer.Head.has("Fulmar-Not-Run"));
  CHECK(Answer.Head.has("Retry-After"));
  LONGS_EQUAL(1, Runs);
}

TEST(ProxyClaims, anUnknownOutcomeStaysUnknown) {
  Breaks = true;
  fake_target Target(counting(""));
  test_caller Caller(Fixture.start({Target.address()}));
  for (int Arrival = 0; Arrival < 3; ++Arrival) {
    const auto Answer = Caller.post("/s/fee", "1", Key);
    LONGS_EQUAL(502, Answer.status());
    STRCMP_EQUAL("outcome-unknown", errorOf(Answer).c_str());
    CHECK(!Answer.Head.has("Fulmar-Not-Run"));
  }
  LONGS_EQUAL(1, Runs);
  CHECK(Fixture.Keeper.ends()[0] == claim_end::Unknown);
}

TEST(ProxyClaims, aRequestThatWasNotRunFreesItsKey) {
  test_caller Caller(Fixture.start({}));
  const auto Refused = Caller.post("/s/fee", "1", Key);
  STRCMP_EQUAL("true", Refused.Head.get("Fulmar-Not-Run", "").c_str());
  CHECK(Fixture.Keeper.ends()[0] == claim_end::NotRun);
  fake_target Target(counting(fixedAnswer("paid")));
  Fixture.Router.Addresses = {Target.address()};
  STRCMP_EQUAL("paid", Caller.post("/s/fee", "1", Key).Body.c_str());
  LONGS_EQUAL(1, Runs);
}

TEST(ProxyClaims, withoutAClaimNothingIsDispatched) {
  fake_target Target(counting(fixedAnswer("paid")));
  test_caller Caller(Fixture.start({Target.address()}));
  Fixture.Keeper.Failure = base::error_kind::NoQuorum;
  const auto Answer = Caller.post("/s/fee", "1", Key);
  STRCMP_EQUAL("no-quorum", errorOf(Answer).c_str());
  // An earlier arrival of the same key may have run.
  CHECK(!Answer.Head.has("Fulmar-Not-Run"));
  LONGS_EQUAL(0, Runs);
}

TEST(ProxyClaims, anAnswerTooLargeToRecordIsNotRunAgain) {
  fake_target Target(counting(fixedAnswer(std::string(200000, 'l'))));
  test_caller Caller(Fixture.start({Target.address()}));
  LONGS_EQUAL(200000, Caller.post("/s/fee", "1", Key).Body.size());
  STRCMP_EQUAL("outcome-unknown",
               errorOf(Caller.post("/s/fee", "1", Key)).c_str());
  LONGS_EQUAL(1, Runs);
}
