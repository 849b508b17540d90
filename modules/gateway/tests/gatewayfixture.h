// A gateway on an event loop, with scripted targets and test callers.

#ifndef FULMAR_GATEWAY_TESTS_GATEWAYFIXTURE_H
#define FULMAR_GATEWAY_TESTS_GATEWAYFIXTURE_H

#include "fulmar/gateway/gateway.h"
#include "tests/scriptedtarget.h"

#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmar::gateway {

inline constexpr const char *GatewayAddress = "127.0.0.1:18560";

inline header_names testHeaderNames() {
  return {.RequestId = "T-Request",
          .Deadline = "T-Deadline",
          .Signature = "T-Signature",
          .ExpectedTarget = "T-Expect",
          .Load = "T-Load",
          .NotRun = "T-Not-Run",
          .Leaving = "T-Leaving",
          .RateLimit = "T-Limit",
          .TargetId = "T-Id",
          .RemainingWarmUp = "T-Cold",
          .Account = "T-Account"};
}

/// A caller's connection.
class test_caller {
public:
  /// Without \p Reads, responses stay unread in the socket.
  explicit test_caller(eventloop::loop &OwningLoop, bool Reads = true,
                       const std::string &Address = GatewayAddress)
      : Loop(OwningLoop), Socket(Loop.context()) {
    Socket.connect(eventloop::parseEndpoint(Address).value());
    if (Reads)
      read();
  }

  void send(const std::string &Bytes) {
    asio::write(Socket, asio::buffer(Bytes));
  }
  /// For more than the sockets' buffers hold: the gateway reads in the same
  /// thread. \p Bytes must outlive the write.
  void sendInBackground(const std::string &Bytes) {
    asio::async_write(Socket, asio::buffer(Bytes),
                      [](error_code /*Failed*/, std::size_t /*Count*/) {});
  }
  void close() {
    error_code Ignored;
    Socket.close(Ignored);
  }

  std::string Received;
  bool Ended = false;

private:
  void read() {
    Socket.async_read_some(asio::buffer(Chunk),
                           [this](error_code Failed, std::size_t Count) {
                             if (Failed) {
                               Ended = true;
                               return;
                             }
                             Received.append(Chunk.data(), Count);
                             read();
                           });
  }

  eventloop::loop &Loop;
  tcp::socket Socket;
  std::array<char, 4'096> Chunk{};
};

inline std::string
request(const std::string &Method, const std::string &Path,
        const std::string &Body = "",
        const std::string &Headers = "T-Deadline: 2000\r\n") {
  return Method + " " + Path + " HTTP/1.1\r\nHost: a.example\r\n" +
         "T-Request: id1\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Routes /read/ and /write/ to the service "s".
inline fleet::routing_plan testPlan() {
  return {.Version = 1,
          .Routes = {{.Name = "read",
                      .Host = "a.example",
                      .PathPrefix = "/read/",
                      .Idempotency = fleet::idempotency::Idempotent,
                      .Shares = {{.Service = "s"}},
                      .TimeoutMs = 1'000,
                      .ObjectiveMs = 400,
                      .Attempts = 2},
                     {.Name = "write",
                      .Host = "a.example",
                      .PathPrefix = "/write/",
                      .Shares = {{.Service = "s"}},
                      .TimeoutMs = 1'000,
                      .ObjectiveMs = 400,
                      .Attempts = 2}},
          .Services = {{.Name = "s", .HealthPath = "/healthz"}}};
}

class gateway_fixture : public Utest {
public:
  eventloop::loop Loop;
  telemetry::metrics Metrics;
  std::vector<controlstate::crash_command> Crashes;
  /// Published fingerprints of requests that crash targets.
  std::set<std::string> Quarantined;
  class gateway Gateway {
    Loop,
        {.ListenAddress = GatewayAddress,
         .HeaderNames = testHeaderNames(),
         .InstanceId = "e",
         .DataCentre = "pos",
         .GracePeriod = std::chrono::milliseconds(1'500),
         .OnCrash = [this](const auto &Crash) { Crashes.push_back(Crash); }},
        Metrics
  };
  std::vector<std::unique_ptr<scripted_target>> Targets;
  fleet::routing_plan Plan = testPlan();
  std::shared_ptr<const fleet::account_set> Accounts;

  void setup() override { CHECK_TRUE(Gateway.start().has_value()); }

  void addTarget(scripted_target::script Script) {
    const std::string Number = std::to_string(Targets.size());
    Targets.push_back(std::make_unique<scripted_target>(
        Loop, "t" + Number, "127.0.0.1:1857" + Number, std::move(Script)));
    apply();
  }

  void apply() { Gateway.apply(currentView()); }

  fleet_view currentView() const {
    fleet_view View{.Serial = 1,
                    .Plan = std::make_shared<fleet::routing_plan>(Plan),
                    .Entries = {"e"},
                    .Quarantined = Quarantined,
                    .Accounts = Accounts};
    for (const auto &Target : Targets)
      View.Targets.push_back({.Id = Target->id(),
                              .Service = "s",
                              .DataCentre = "pos",
                              .Address = Target->address(),
                              .Slots = 4,
                              .StartedAtMs = 1});
    return View;
  }

  template <typename Condition>
  bool runUntil(Condition Done,
                base::duration Limit = std::chrono::seconds(4)) {
    const base::instant End = Loop.now() + Limit;
    while (!Done() && Loop.now() < End)
      Loop.context().run_one_for(std::chrono::milliseconds(5));
    return Done();
  }

  /// Sends one request and returns everything received within 30 ms after the
  /// first byte.
  std::string fetch(const std::string &Bytes) {
    test_caller Caller(Loop);
    Caller.send(Bytes);
    runUntil([&Caller] { return !Caller.Received.empty() || Caller.Ended; });
    const base::instant Until = Loop.now() + std::chrono::milliseconds(30);
    runUntil([this, Until] { return Loop.now() > Until; });
    const std::string Received = Caller.Received;
    Caller.close();
    Loop.context().poll();
    return Received;
  }

  std::size_t requestCount() const {
    std::size_t Count = 0;
    for (const auto &Target : Targets)
      Count += Target->requests().size();
    return Count;
  }
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_TESTS_GATEWAYFIXTURE_H
