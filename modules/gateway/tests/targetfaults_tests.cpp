// Targets that are leaving, refuse requests, don't respond or send unexpected
// responses: what callers get, and which requests the target gets afterwards.

#include "fulmar/testing/property.h"
#include "internal/targetbackpressure.h"
#include "tests/gatewayfixture.h"

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

namespace {

target_action respondOk(const received_request &Request) {
  return {.Bytes = scripted_target::ok(Request, "ran")};
}

/// A complete response with additional header lines.
target_action respondWithHeaders(const received_request &Request,
                                 const std::string &Lines) {
  std::string Bytes = scripted_target::ok(Request, "ran");
  Bytes.insert(Bytes.find("T-Signature"), Lines);
  return {.Bytes = Bytes};
}

} // namespace

TEST_GROUP_BASE(TargetFaults, gateway_fixture){void fetchRepeatedly(
    int Times, const char *Method = "GET", const char *Path = "/read/x"){
    for (int Number = 0; Number < Times; ++Number) fetch(request(Method, Path));
}
std::size_t requestCountAt(std::size_t Index) const {
  return Targets[Index]->requests().size();
}
}
;

TEST(TargetFaults, aLeavingTargetGetsNoFurtherRequests) {
  addTarget([](const received_request &Request) {
    return respondWithHeaders(Request, "T-Leaving: 1\r\n");
  });
  STRCMP_CONTAINS("ran", fetch(request("GET", "/read/x")).c_str());
  addTarget(respondOk);
  fetchRepeatedly(4);
  CHECK_EQUAL(1U, requestCountAt(0));
  CHECK_EQUAL(4U, requestCountAt(1));
  // Unlisted and listed again, it is still the same incarnation.
  auto Gone = std::move(Targets[0]);
  Targets.erase(Targets.begin());
  apply();
  Targets.insert(Targets.begin(), std::move(Gone));
  apply();
  fetchRepeatedly(4);
  CHECK_EQUAL(1U, requestCountAt(0));
}

TEST(TargetFaults, aTargetThatReportsLeavingInAProbeGetsNoRequests) {
  addTarget(respondOk);
  addTarget(respondOk);
  Targets[0]->setHealthHeaders("T-Leaving: 1\r\n");
  fetchRepeatedly(6);
  CHECK_EQUAL(0U, requestCountAt(0));
}

TEST(TargetFaults, theLeavingHeaderOfADroppedResponseCounts) {
  addTarget([](const received_request &) {
    return target_action{.Bytes = "HTTP/1.1 500 No\r\nT-Request: other\r\n"
                                  "T-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
                         .Close = true};
  });
  addTarget(respondOk);
  fetchRepeatedly(6);
  CHECK_TRUE(requestCountAt(0) <= 1);
}

TEST(TargetFaults, requestsAreRefusedAtOnceWhenAllTargetsLeave) {
  addTarget([](const received_request &Request) {
    return respondWithHeaders(Request, "T-Leaving: 1\r\n");
  });
  fetchRepeatedly(1);
  const base::instant StartedAt = Loop.now();
  const std::string Response = fetch(request("GET", "/read/x"));
  STRCMP_CONTAINS("HTTP/1.1 503", Response.c_str());
  STRCMP_CONTAINS("Retry-After: ", Response.c_str());
  CHECK_TRUE(Loop.now() - StartedAt < milliseconds(120));
  CHECK_EQUAL(1U, requestCount());
}

TEST(TargetFaults, aTargetGetsNoRequestsDuringItsRetryAfter) {
  addTarget([](const received_request &) {
    return target_action{.Bytes =
                             "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\nT-Request: "
                             "id1\r\nRetry-After: 0.8\r\nContent-Length: "
                             "0\r\n\r\n"};
  });
  const base::instant StartedAt = Loop.now();
  const std::string Refused = fetch(request("POST", "/write/x", "b"));
  STRCMP_CONTAINS("HTTP/1.1 503", Refused.c_str());
  // All targets of the service want no requests: refused at once, with the
  // remaining time as Retry-After.
  const std::string Again = fetch(request("POST", "/write/x", "b"));
  STRCMP_CONTAINS("HTTP/1.1 503", Again.c_str());
  const auto At = Again.find("Retry-After: ") + 13;
  CHECK_TRUE(std::stod(Again.substr(At)) >= 0.6);
  CHECK_TRUE(Loop.now() - StartedAt < milliseconds(300));
  CHECK_EQUAL(1U, requestCount());
  addTarget(respondOk);
  fetchRepeatedly(5);
  CHECK_EQUAL(1U, requestCountAt(0));
  // Up to a quarter is added as jitter, so that entries don't return together.
  runUntil([&] { return Loop.now() - StartedAt > milliseconds(1'050); });
  CHECK_TRUE(runUntil(
      [this] {
        fetchRepeatedly(1);
        return requestCountAt(0) > 1;
      },
      milliseconds(2'500)));
}

TEST(TargetFaults, retryAfterAcceptsOnlyNonNegativeSeconds) {
  const auto PauseOf = [](const std::string &Value, unsigned Status = 503) {
    http::fields Fields;
    Fields.set("Retry-After", Value);
    return parseBackpressure(Fields, Status, testHeaderNames()).Pause;
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

TEST(TargetFaults, anUnresponsiveTargetGetsNoFurtherRequests) {
  addTarget([](const received_request &) { return target_action{}; });
  for (int Number = 0; Number < 3; ++Number) {
    addTarget(respondOk);
    Targets.back()->setLoad("4,0,4,100");
  }
  // A request that may have run is never reported as not run.
  STRCMP_CONTAINS("HTTP/1.1 504",
                  fetch(request("POST", "/write/x", "b")).c_str());
  CHECK_EQUAL(1U, requestCountAt(0));
  CHECK_TRUE(runUntil([this] { return Targets[0]->abandoned() == 1; }));
  for (std::size_t Index = 1; Index < Targets.size(); ++Index)
    Targets[Index]->setLoad("0,0,4,100");
  fetchRepeatedly(6);
  CHECK_EQUAL(1U, requestCountAt(0));
}

TEST(TargetFaults, anIdempotentRequestAtAnUnresponsiveTargetIsServedElsewhere) {
  addTarget([](const received_request &) { return target_action{}; });
  addTarget(respondOk);
  Targets[1]->setLoad("4,0,4,100");
  test_caller Caller(Loop);
  Caller.send(request("GET", "/read/x"));
  CHECK_TRUE(runUntil([this] { return requestCountAt(0) == 1; }));
  // There is no capacity elsewhere when the hedge is first due.
  const base::instant FreeAt = Loop.now() + milliseconds(450);
  runUntil([&] { return Loop.now() > FreeAt; });
  Targets[1]->setLoad("0,0,4,100");
  CHECK_TRUE(runUntil([&Caller] { return !Caller.Received.empty(); },
                      milliseconds(300)));
  STRCMP_CONTAINS("ran", Caller.Received.c_str());
  // The connection to the unresponsive target is not reused.
  CHECK_TRUE(runUntil([this] { return Targets[0]->abandoned() == 1; }));
  Caller.close();
}

TEST(TargetFaults, aDuplicateResponseWithoutIdIsDropped) {
  // The duplicate of the first response arrives where the second one is
  // expected.
  addTarget([this](const received_request &Request) {
    if (Targets[0]->requests().size() == 1)
      return respondOk(Request);
    return target_action{.Bytes = "HTTP/1.1 200 OK\r\nT-Signature: s\r\n"
                                  "Content-Length: 5\r\n\r\nstale" +
                                  scripted_target::ok(Request, "mine")};
  });
  STRCMP_CONTAINS("ran", fetch(request("POST", "/write/x")).c_str());
  const std::string Response = fetch(request("POST", "/write/x"));
  CHECK_TRUE(Response.find("stale") == std::string::npos);
  STRCMP_CONTAINS("HTTP/1.1 502", Response.c_str());
}

TEST(TargetFaults, aRefusalWithoutIdOnAReusedConnectionIsNotTrusted) {
  addTarget([this](const received_request &Request) {
    if (Targets[0]->requests().size() == 1)
      return respondOk(Request);
    return target_action{.Bytes = "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\n"
                                  "Content-Length: 0\r\n\r\n"};
  });
  fetch(request("POST", "/write/x"));
  STRCMP_CONTAINS("HTTP/1.1 502", fetch(request("POST", "/write/x")).c_str());
}

TEST(TargetFaults, anAbsurdContentLengthFailsOnlyItsRequest) {
  addTarget([](const received_request &) {
    return target_action{.Bytes = "HTTP/1.1 200 OK\r\nT-Request: id1\r\n"
                                  "T-Signature: s\r\nContent-Length: "
                                  "4611686018427387903\r\n\r\nx",
                         .Close = true};
  });
  STRCMP_CONTAINS("HTTP/1.1 502", fetch(request("POST", "/write/x")).c_str());
  // The same from a caller.
  STRCMP_CONTAINS("HTTP/1.1 413", fetch("POST /write/x HTTP/1.1\r\nHost: "
                                        "a.example\r\nContent-Length: "
                                        "4611686018427387903\r\n\r\nx")
                                      .c_str());
}

TEST(TargetFaults, absurdHeaderValuesOfATargetAreHarmless) {
  addTarget([](const received_request &Request) {
    return respondWithHeaders(Request,
                              "Keep-Alive: timeout=18446744073709551615\r\n");
  });
  Targets[0]->setHealthHeaders("T-Cold: 18446744073709551615\r\n");
  addTarget(respondOk);
  for (const char *Load :
       {"nan,inf,2,100", "1e300,0,2,100", "-1,0,2,100", "0,0,0,0", ",,,",
        "0,0,2,1e308", "0,0,99999999999999999999,100"}) {
    Targets[0]->setLoad(Load);
    fetchRepeatedly(3);
  }
  CHECK_EQUAL(21U, requestCount());
}

// A target's reports are missing for longer than its lease, or its data centre
// is taken out, while it works on a long request.
TEST(TargetFaults, aRequestAtATargetThatIsNoLongerListedCompletes) {
  scripted_target *Slow = nullptr;
  addTarget([](const received_request &) { return target_action{}; });
  Slow = Targets[0].get();
  test_caller Caller(Loop);
  Caller.send(request("POST", "/write/x", "b"));
  CHECK_TRUE(runUntil([this] { return requestCount() == 1; }));
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

// Guards against a status that is none: it is neither passed on nor awaited
// further.
TEST(TargetFaults, aResponseWithoutAValidStatusIsABrokenResponseAtOnce) {
  std::string Status;
  addTarget([&Status](const received_request &Request) {
    return target_action{
        .Bytes = "HTTP/1.1 " + Status +
                 " Odd\r\nT-Signature: s\r\nT-Request: " +
                 std::string(headerOf(Request.Fields, "T-Request")) +
                 "\r\nContent-Length: 2\r\n\r\nno"};
  });
  for (const char *Invalid : {"000", "099", "20", "600", "1000", "2 0", "-1"}) {
    Status = Invalid;
    const base::instant Start = Loop.now();
    const std::string Response = fetch(request("POST", "/write/x", "b"));
    STRCMP_CONTAINS("HTTP/1.1 502", Response.c_str());
    CHECK_TRUE(Loop.now() - Start < std::chrono::milliseconds(700));
  }
}
