// Targets that name a rate limit in their responses: where further requests go,
// and what callers get when all targets of a service are at their limits.

#include "fulmar/testing/property.h"
#include "internal/targetbackpressure.h"
#include "tests/gatewayfixture.h"

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

TEST_GROUP_BASE(TargetLimits, gateway_fixture) {
  /// Header lines of all further responses of the targets.
  std::string Limit = "T-Limit: 0.5\r\n";

  void addLimitedTarget() {
    addTarget([this](const received_request &Request) {
      std::string Bytes = scripted_target::ok(Request, "ran");
      Bytes.insert(Bytes.find("T-Signature"), Limit);
      return target_action{.Bytes = Bytes};
    });
  }
  void addUnlimitedTarget() {
    addTarget([](const received_request &Request) {
      return target_action{.Bytes = scripted_target::ok(Request, "ran")};
    });
  }
  /// Checks that \p Bytes, which a target sends after it has named its limit in
  /// another response, leave the limit in force.
  void checkLimitHoldsAfter(const std::string &Bytes) {
    addTarget([this, Bytes](const received_request &Request) {
      if (Request.Target == "/write/spoilt")
        return target_action{
            .Bytes = Bytes, .Close = true, .ResponseDelay = milliseconds(150)};
      std::string Whole = scripted_target::ok(Request, "ran");
      Whole.insert(Whole.find("T-Signature"), Limit);
      return target_action{.Bytes = Whole};
    });
    test_caller Spoilt(Loop);
    Spoilt.send(request("POST", "/write/spoilt", "b"));
    CHECK_TRUE(runUntil([this] { return requestCount() == 1; }));
    STRCMP_CONTAINS("ran", fetch(request("GET", "/read/x")).c_str());
    CHECK_TRUE(runUntil([&Spoilt] { return !Spoilt.Received.empty(); }));
    STRCMP_CONTAINS("HTTP/1.1 503", fetch(request("GET", "/read/x")).c_str());
    CHECK_EQUAL(2U, requestCount());
  }
  std::size_t requestsAt(std::size_t Index) {
    return Targets[Index]->requests().size();
  }
};

TEST(TargetLimits, otherTargetsGetWhatALimitedOneDoesNotTake) {
  addLimitedTarget();
  STRCMP_CONTAINS("ran", fetch(request("GET", "/read/x")).c_str());
  addUnlimitedTarget();
  constexpr std::size_t Count = 20;
  for (std::size_t Number = 0; Number < Count; ++Number)
    STRCMP_CONTAINS("ran", fetch(request("GET", "/read/x")).c_str());
  // Half a request per second, in about one second.
  CHECK_COMPARE(requestsAt(0), <=, 2U);
  CHECK_COMPARE(requestsAt(1), >=, Count - 1);
}

TEST(TargetLimits, aServiceAtItsLimitRejectsAtOnceAndSaysWhenToReturn) {
  addLimitedTarget();
  STRCMP_CONTAINS("ran", fetch(request("GET", "/read/x")).c_str());
  const base::instant SentAt = Loop.now();
  const std::string Rejected = fetch(request("POST", "/write/x", "b"));
  STRCMP_CONTAINS("HTTP/1.1 503", Rejected.c_str());
  STRCMP_CONTAINS("Retry-After: ", Rejected.c_str());
  CHECK_TRUE(Loop.now() - SentAt < milliseconds(200));
  CHECK_EQUAL(1U, requestCount());
}

TEST(TargetLimits, aRetryCountsAgainstTheLimit) {
  Limit = "T-Limit: 0.5\r\nT-Not-Run: 1\r\n";
  addLimitedTarget();
  for (int Number = 0; Number < 5; ++Number)
    fetch(request("GET", "/read/x"));
  CHECK_COMPARE(requestCount(), <=, 2U);
}

TEST(TargetLimits, anUnsignedResponseDoesNotLiftTheLimit) {
  checkLimitHoldsAfter("HTTP/1.1 200 OK\r\nT-Request: id1\r\n"
                       "Content-Length: 1\r\n\r\nx");
}

TEST(TargetLimits, aLateDuplicateOfAnEarlierResponseDoesNotLiftTheLimit) {
  checkLimitHoldsAfter("HTTP/1.1 200 OK\r\nT-Request: earlier\r\n"
                       "T-Signature: s\r\nContent-Length: 1\r\n\r\nx");
}

TEST(TargetLimits, aMalformedLimitChangesNothing) {
  addLimitedTarget();
  fetch(request("GET", "/read/x"));
  Limit = "T-Limit: soon\r\n";
  Targets[0]->setHealthHeaders(Limit);
  STRCMP_CONTAINS("HTTP/1.1 503", fetch(request("GET", "/read/x")).c_str());
  const auto Read = [](const std::string &Value) {
    http::fields Fields;
    Fields.set("T-Limit", Value);
    return parseBackpressure(Fields, 200, testHeaderNames());
  };
  CHECK_TRUE(Read("0.25").RateLimit == 0.25);
  CHECK_TRUE(Read("0").RateLimit == 0.0);
  CHECK_TRUE(Read("999999999999").RateLimit.has_value());
  for (const char *Malformed : {"-1", "inf", "nan", "1e9", "2 a second"}) {
    CHECK_TRUE(Read(Malformed).RateLimitMalformed);
    CHECK_FALSE(Read(Malformed).RateLimit.has_value());
  }
}
