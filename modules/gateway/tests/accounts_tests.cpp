// Keys and accounts at the gateway: what targets get, and what callers without
// a valid key are told.

#include "tests/gatewayfixture.h"

using namespace fulmar;
using namespace fulmar::gateway;

TEST_GROUP_BASE(Accounts, gateway_fixture){void setup() override{
    Accounts = std::make_shared<fleet::account_set>(fleet::account_set{
        .Required = true,
        .Accounts = {{.Name = "one", .Keys = {"secret"}, .Priority = 0}},
        .PublicRoutes = {"read"}});
gateway_fixture::setup();
addTarget([](const received_request &Request) { return answerTo(Request); });
Gateway.recordProof(Loop.now());
}
static std::string withKey(const std::string &Key,
                           const std::string &More = "") {
  return "T-Deadline: 2000\r\nAuthorization: Bearer " + Key + "\r\n" + More;
}
static target_action answerTo(const received_request &Request) {
  return {.Bytes = "HTTP/1.1 200 OK\r\nT-Signature: s\r\nT-Request: " +
                   std::string(headerOf(Request.Fields, "T-Request")) +
                   "\r\nContent-Length: 2\r\n\r\nok"};
}
}
;

// Guards against keys that reach targets, and accounts that callers make up.
TEST(Accounts, theTargetGetsTheAccountAndNeverTheKey) {
  STRCMP_CONTAINS("200",
                  fetch(request("POST", "/write/x", "b",
                                withKey("secret", "T-Account: other\r\n")))
                      .c_str());
  const auto &Fields = Targets[0]->requests().back().Fields;
  STRCMP_EQUAL("one", std::string(headerOf(Fields, "T-Account")).c_str());
  CHECK_EQUAL(1U, Fields.count("T-Account"));
  CHECK_TRUE(headerOf(Fields, "Authorization").empty());
}

TEST(Accounts, aPublicRouteTakesRequestsWithoutAKey) {
  STRCMP_CONTAINS("200",
                  fetch(request("GET", "/read/x", "",
                                "T-Account: other\r\nT-Deadline: 2000\r\n"))
                      .c_str());
  CHECK_TRUE(
      headerOf(Targets[0]->requests().back().Fields, "T-Account").empty());
}

TEST(Accounts, anUnknownKeyIs401AndRunsNowhere) {
  STRCMP_CONTAINS(
      "401", fetch(request("POST", "/write/x", "b", withKey("other"))).c_str());
  CHECK_EQUAL(0U, requestCount());
}

// Guards against 401 by an entry that has not heard of the newest keys.
TEST(Accounts, withoutARecentProofAnUnknownKeyIs503) {
  Gateway.recordProof(Loop.now() - std::chrono::seconds(3));
  const std::string Response =
      fetch(request("POST", "/write/x", "b", withKey("other")));
  STRCMP_CONTAINS("503", Response.c_str());
  STRCMP_CONTAINS("Retry-After", Response.c_str());
  CHECK_EQUAL(0U, requestCount());
}

TEST(Accounts, withoutAccountsHeadersArePassedOnUnchanged) {
  Accounts = std::make_shared<fleet::account_set>();
  apply();
  STRCMP_CONTAINS("200", fetch(request("POST", "/write/x", "b",
                                       withKey("k", "T-Account: mine\r\n")))
                             .c_str());
  const auto &Fields = Targets[0]->requests().back().Fields;
  STRCMP_EQUAL("mine", std::string(headerOf(Fields, "T-Account")).c_str());
  CHECK_FALSE(headerOf(Fields, "Authorization").empty());
}
