// Targets that leave, want nothing, say nothing, or answer what nobody asked:
// what callers get, and what the target gets afterwards.

#include "fulmar/testing/property.h"
#include "internal/targetwish.h"
#include "tests/gatewayfixture.h"

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

namespace {

target_action answered(const seen_request &Request) {
  return {.Bytes = scripted_target::ok(Request, "ran")};
}

/// A whole answer with further header lines.
target_action answeredWith(const seen_request &Request,
                           const std::string &Lines) {
  std::string Bytes = scripted_target::ok(Request, "ran");
  Bytes.insert(Bytes.find("T-Signature"), Lines);
  return {.Bytes = Bytes};
}

} // namespace

TEST_GROUP_BASE(TargetTrouble, gateway_fixture){void askOften(
    int Times, const char *Method = "GET", const char *Path = "/read/x"){
    for (int Number = 0; Number < Times; ++Number) ask(request(Method, Path));
}
std::size_t arrivedAt(std::size_t Index) const {
  return Targets[Index]->requests().size();
}
}
;

TEST(TargetTrouble, aLeavingTargetGetsNothingMore) {
  addTarget([](const seen_request &Request) {
    return answeredWith(Request, "T-Leaving: 1\r\n");
  });
  STRCMP_CONTAINS("ran", ask(request("GET", "/read/x")).c_str());
  addTarget(answered);
  askOften(4);
  CHECK_EQUAL(1U, arrivedAt(0));
  CHECK_EQUAL(4U, arrivedAt(1));
  // Taken off the list and put back: it is the same run.
  auto Gone = std::move(Targets[0]);
  Targets.erase(Targets.begin());
  apply();
  Targets.insert(Targets.begin(), std::move(Gone));
  apply();
  askOften(4);
  CHECK_EQUAL(1U, arrivedAt(0));
}

TEST(TargetTrouble, aTargetThatSaysInALookThatItLeavesGetsNothing) {
  addTarget(answered);
  addTarget(answered);
  Targets[0]->setHealthHeaders("T-Leaving: 1\r\n");
  askOften(6);
  CHECK_EQUAL(0U, arrivedAt(0));
}

TEST(TargetTrouble, anAnswerThatIsNotPassedOnTellsOfLeavingToo) {
  addTarget([](const seen_request &) {
    return target_action{.Bytes = "HTTP/1.1 500 No\r\nT-Request: other\r\n"
                                  "T-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
                         .Close = true};
  });
  addTarget(answered);
  askOften(6);
  CHECK_TRUE(arrivedAt(0) <= 1);
}

TEST(TargetTrouble, callersAreToldAtOnceWhenAllTargetsLeave) {
  addTarget([](const seen_request &Request) {
    return answeredWith(Request, "T-Leaving: 1\r\n");
  });
  askOften(1);
  const base::instant Begun = Loop.now();
  const std::string Answer = ask(request("GET", "/read/x"));
  STRCMP_CONTAINS("HTTP/1.1 503", Answer.c_str());
  STRCMP_CONTAINS("Retry-After: ", Answer.c_str());
  CHECK_TRUE(Loop.now() - Begun < milliseconds(120));
  CHECK_EQUAL(1U, arrived());
}

TEST(TargetTrouble, aTargetThatWantsNothingForAWhileGetsNothing) {
  addTarget([](const seen_request &) {
    return target_action{.Bytes =
                             "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\nT-Request: "
                             "id1\r\nRetry-After: 0.8\r\nContent-Length: "
                             "0\r\n\r\n"};
  });
  const base::instant Begun = Loop.now();
  const std::string Refused = ask(request("POST", "/write/x", "b"));
  STRCMP_CONTAINS("HTTP/1.1 503", Refused.c_str());
  // All of the service's targets want nothing: refused at once, until then.
  const std::string Again = ask(request("POST", "/write/x", "b"));
  STRCMP_CONTAINS("HTTP/1.1 503", Again.c_str());
  const auto At = Again.find("Retry-After: ") + 13;
  CHECK_TRUE(std::stod(Again.substr(At)) >= 0.6);
  CHECK_TRUE(Loop.now() - Begun < milliseconds(300));
  CHECK_EQUAL(1U, arrived());
  addTarget(answered);
  askOften(5);
  CHECK_EQUAL(1U, arrivedAt(0));
  // A quarter at most is added, so that entries don't return together.
  runUntil([&] { return Loop.now() - Begun > milliseconds(1'050); });
  CHECK_TRUE(runUntil(
      [this] {
        askOften(1);
        return arrivedAt(0) > 1;
      },
      milliseconds(2'500)));
}

TEST(TargetTrouble, whatRetryAfterMayHold) {
  const auto PauseOf = [](const std::string &Value, unsigned Status = 503) {
    http::fields Fields;
    Fields.set("Retry-After", Value);
    return wishIn(Fields, Status, "T-Leaving").Pause;
  };
  CHECK_TRUE(PauseOf("2") == std::chrono::seconds(2));
  CHECK_TRUE(PauseOf(" 0.25 ") == milliseconds(250));
  CHECK_TRUE(PauseOf("3600") == std::chrono::hours(1));
  CHECK_TRUE(PauseOf("99999999999999999999") == std::chrono::hours(24));
  CHECK_TRUE(PauseOf("1", 429) == std::chrono::seconds(1));
  for (const char *Nothing : {"0", "-1", "soon", "", "1s", "nan", "inf", "1e9",
                              "Fri, 04 Dec 2026 11:00:00 GMT"})
    CHECK_TRUE(PauseOf(Nothing) == base::duration());
  CHECK_TRUE(PauseOf("2", 200) == base::duration());
}

TEST(TargetTrouble, aSilentTargetCostsASafeRequestLittleAndIsLeftAlone) {
  addTarget([](const seen_request &) { return target_action{}; });
  for (int Number = 0; Number < 3; ++Number) {
    addTarget(answered);
    Targets.back()->setLoad("4,0,4,100");
  }
  // What may have run is never said not to have.
  STRCMP_CONTAINS("HTTP/1.1 504",
                  ask(request("POST", "/write/x", "b")).c_str());
  CHECK_EQUAL(1U, arrivedAt(0));
  CHECK_TRUE(runUntil([this] { return Targets[0]->abandoned() == 1; }));
  for (std::size_t Index = 1; Index < Targets.size(); ++Index)
    Targets[Index]->setLoad("0,0,4,100");
  askOften(6);
  CHECK_EQUAL(1U, arrivedAt(0));
}

TEST(TargetTrouble, aSafeRequestAtASilentTargetIsServedElsewhere) {
  addTarget([](const seen_request &) { return target_action{}; });
  addTarget(answered);
  Targets[1]->setLoad("4,0,4,100");
  test_caller Caller(Loop);
  Caller.send(request("GET", "/read/x"));
  CHECK_TRUE(runUntil([this] { return arrivedAt(0) == 1; }));
  // There is no room elsewhere when a second run would first be begun.
  const base::instant FreeAt = Loop.now() + milliseconds(450);
  runUntil([&] { return Loop.now() > FreeAt; });
  Targets[1]->setLoad("0,0,4,100");
  CHECK_TRUE(runUntil([&Caller] { return !Caller.Received.empty(); },
                      milliseconds(300)));
  STRCMP_CONTAINS("ran", Caller.Received.c_str());
  // The connection to the silent target is not used again.
  CHECK_TRUE(runUntil([this] { return Targets[0]->abandoned() == 1; }));
  Caller.close();
}

TEST(TargetTrouble, aCopyWithoutIdOfAnEarlierAnswerReachesNobody) {
  // The copy of the first answer comes where the second one is expected.
  addTarget([this](const seen_request &Request) {
    if (Targets[0]->requests().size() == 1)
      return answered(Request);
    return target_action{.Bytes = "HTTP/1.1 200 OK\r\nT-Signature: s\r\n"
                                  "Content-Length: 5\r\n\r\nstale" +
                                  scripted_target::ok(Request, "mine")};
  });
  STRCMP_CONTAINS("ran", ask(request("POST", "/write/x")).c_str());
  const std::string Answer = ask(request("POST", "/write/x"));
  CHECK_TRUE(Answer.find("stale") == std::string::npos);
  STRCMP_CONTAINS("HTTP/1.1 502", Answer.c_str());
}

TEST(TargetTrouble, aRefusalWithoutIdOnAUsedConnectionProvesNothing) {
  addTarget([this](const seen_request &Request) {
    if (Targets[0]->requests().size() == 1)
      return answered(Request);
    return target_action{.Bytes = "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\n"
                                  "Content-Length: 0\r\n\r\n"};
  });
  ask(request("POST", "/write/x"));
  STRCMP_CONTAINS("HTTP/1.1 502", ask(request("POST", "/write/x")).c_str());
}

TEST(TargetTrouble, anAbsurdLengthEndsTheCallOnly) {
  addTarget([](const seen_request &) {
    return target_action{.Bytes = "HTTP/1.1 200 OK\r\nT-Request: id1\r\n"
                                  "T-Signature: s\r\nContent-Length: "
                                  "4611686018427387903\r\n\r\nx",
                         .Close = true};
  });
  STRCMP_CONTAINS("HTTP/1.1 502", ask(request("POST", "/write/x")).c_str());
  // From a caller too.
  STRCMP_CONTAINS("HTTP/1.1 413", ask("POST /write/x HTTP/1.1\r\nHost: "
                                      "a.example\r\nContent-Length: "
                                      "4611686018427387903\r\n\r\nx")
                                      .c_str());
}

TEST(TargetTrouble, absurdLoadsAndTimesOfATargetHarmNobody) {
  addTarget([](const seen_request &Request) {
    return answeredWith(Request,
                        "Keep-Alive: timeout=18446744073709551615\r\n");
  });
  Targets[0]->setHealthHeaders("T-Cold: 18446744073709551615\r\n");
  addTarget(answered);
  for (const char *Load :
       {"nan,inf,2,100", "1e300,0,2,100", "-1,0,2,100", "0,0,0,0", ",,,",
        "0,0,2,1e308", "0,0,99999999999999999999,100"}) {
    Targets[0]->setLoad(Load);
    askOften(3);
  }
  CHECK_EQUAL(21U, arrived());
}

// Load: a target's reports stay away for longer than its lease, or its data
// centre is taken out, while it works on a long request.
TEST(TargetTrouble, aRequestThatRunsAtATargetThatIsNoLongerListedGoesOn) {
  scripted_target *Slow = nullptr;
  addTarget([](const seen_request &) { return target_action{}; });
  Slow = Targets[0].get();
  test_caller Caller(Loop);
  Caller.send(request("POST", "/write/x", "b"));
  CHECK_TRUE(runUntil([this] { return arrived() == 1; }));
  auto Kept = std::move(Targets[0]);
  Targets.clear();
  apply();
  const base::instant LaterAt = Loop.now() + milliseconds(300);
  runUntil([this, LaterAt] { return Loop.now() > LaterAt; });
  CHECK_EQUAL(0, Slow->abandoned());
  CHECK_TRUE(Caller.Received.empty());
  Slow->answerLate("done late");
  CHECK_TRUE(runUntil([&Caller] { return !Caller.Received.empty(); }));
  STRCMP_CONTAINS("done late", Caller.Received.c_str());
  Caller.close();
}
