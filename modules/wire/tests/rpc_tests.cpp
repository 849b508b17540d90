// JSON-RPC client and server against each other over loopback.

#include "fulmar/wire/rpcclient.h"
#include "fulmar/wire/rpclink.h"
#include "fulmar/wire/rpcserver.h"

#include <CppUTest/TestHarness.h>

using namespace fulmar;
using std::chrono::seconds;

TEST_GROUP(Rpc) {
  wire::rpc_server Server;

  std::string startEcho() {
    Server.handleMethod(
        "echo", [](const Json::Value &Parameters) -> base::result<Json::Value> {
          return Parameters;
        });
    Server.handleMethod(
        "refuse", [](const Json::Value &) -> base::result<Json::Value> {
          return base::fail(base::error_kind::Conflict, "already edited");
        });
    Server.handleText("/metrics", [] { return std::string("up 1\n"); });
    CHECK(Server.start({.Listen = "127.0.0.1:0"}).has_value());
    return "127.0.0.1:" + std::to_string(Server.port());
  }
};

TEST(Rpc, answersOverOneKeptConnection) {
  wire::rpc_client Client(startEcho());
  for (int Number = 0; Number < 3; ++Number) {
    Json::Value Parameters;
    Parameters["number"] = Number;
    const auto Answer = Client.call("echo", Parameters, seconds(5));
    CHECK(Answer.has_value());
    LONGS_EQUAL(Number, Answer.value()["number"].asInt());
  }
}

TEST(Rpc, carriesTheErrorKind) {
  wire::rpc_client Client(startEcho());
  const auto Answer =
      Client.call("refuse", Json::Value(Json::objectValue), seconds(5));
  CHECK(!Answer.has_value());
  CHECK(Answer.error().Kind == base::error_kind::Conflict);
  STRCMP_EQUAL("already edited", Answer.error().Message.c_str());
}

TEST(Rpc, anUnknownMethodIsToldSo) {
  wire::rpc_client Client(startEcho());
  const auto Answer =
      Client.call("nothing", Json::Value(Json::objectValue), seconds(5));
  CHECK(!Answer.has_value());
  CHECK(Answer.error().Kind == base::error_kind::UnknownMethod);
}

TEST(Rpc, aClosedPortIsUnreachable) {
  std::string Address = startEcho();
  Server.stop();
  wire::rpc_client Client(Address);
  const auto Answer =
      Client.call("echo", Json::Value(Json::objectValue), seconds(5));
  CHECK(!Answer.has_value());
  CHECK(Answer.error().Kind == base::error_kind::Unreachable);
}

TEST(Rpc, aTakenPortIsAClearError) {
  const std::string Address = startEcho();
  wire::rpc_server Second;
  const auto Started = Second.start({.Listen = Address});
  CHECK(!Started.has_value());
  CHECK(Started.error().Message.find(Address) != std::string::npos);
}

TEST(Rpc, aLinkCompletesCallsInOrder) {
  base::mailbox<int> Completed;
  wire::rpc_link Link(startEcho());
  for (int Number = 0; Number < 3; ++Number) {
    Json::Value Parameters;
    Parameters["number"] = Number;
    CHECK(Link.post({.Method = "echo",
                     .Parameters = Parameters,
                     .Timeout = seconds(5),
                     .Completion = [&Completed](const auto &Outcome) {
                       Completed.post(Outcome.value()["number"].asInt());
                     }}));
  }
  for (int Number = 0; Number < 3; ++Number)
    LONGS_EQUAL(Number, Completed.take(seconds(5)).value());
}
