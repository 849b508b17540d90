// Several entries in one process, each with network paths of its own to the
// same targets.

#ifndef FULMAR_GATEWAY_TESTS_FLEETFIXTURE_H
#define FULMAR_GATEWAY_TESTS_FLEETFIXTURE_H

#include "tests/cuttablelink.h"
#include "tests/gatewayfixture.h"

namespace fulmar::gateway {

/// An entry and its paths to the targets.
struct test_entry {
  test_entry(eventloop::loop &Loop, std::size_t Number)
      : Id("e" + std::to_string(Number)),
        Address("127.0.0.1:" + std::to_string(18'600 + Number)),
        RelayAddress("127.0.0.1:" + std::to_string(18'620 + Number)),
        Gateway(Loop,
                {.ListenAddress = Address,
                 .RelayListenAddress = RelayAddress,
                 .HeaderNames = testHeaderNames(),
                 .InstanceId = Id,
                 .DataCentre = "pos",
                 .GracePeriod = std::chrono::milliseconds(1'500),
                 .OnCrash =
                     [this](const auto &Crash) { Crashes.push_back(Crash); }},
                Metrics) {}

  std::string Id;
  std::string Address;
  std::string RelayAddress;
  telemetry::metrics Metrics;
  std::vector<controlstate::crash_command> Crashes;
  /// One for each target.
  std::vector<std::unique_ptr<cuttable_link>> Links;
  class gateway Gateway;
};

class fleet_fixture : public Utest {
public:
  static constexpr std::size_t EntryCount = 4;
  static constexpr std::size_t TargetCount = 6;

  eventloop::loop Loop;
  /// How all targets respond.
  scripted_target::script Script = [](const received_request &Request) {
    return target_action{.Bytes = scripted_target::ok(Request, "ran")};
  };
  std::vector<std::unique_ptr<scripted_target>> Targets;
  std::vector<std::unique_ptr<test_entry>> Entries;
  fleet::routing_plan Plan = testPlan();

  void setup() override {
    for (std::size_t Number = 0; Number < TargetCount; ++Number)
      Targets.push_back(std::make_unique<scripted_target>(
          Loop, "t" + std::to_string(Number),
          "127.0.0.1:" + std::to_string(18'650 + Number),
          [this](const received_request &Request) { return Script(Request); }));
    for (std::size_t Number = 0; Number < EntryCount; ++Number) {
      Entries.push_back(std::make_unique<test_entry>(Loop, Number));
      test_entry &Entry = *Entries.back();
      for (std::size_t Target = 0; Target < TargetCount; ++Target)
        Entry.Links.push_back(std::make_unique<cuttable_link>(
            Loop,
            "127.0.0.1:" +
                std::to_string(18'660 + Number * TargetCount + Target),
            Targets[Target]->address()));
      CHECK_TRUE(Entry.Gateway.start().has_value());
    }
    for (const auto &Entry : Entries)
      Entry->Gateway.apply(viewOf(*Entry));
  }

  /// Lets the probes of hanging targets end: they refer to their entry.
  void teardown() override {
    for (std::size_t Number = 0; Number < EntryCount; ++Number) {
      if (Entries[Number])
        setLinks(Number, link_state::Open);
    }
    runFor(std::chrono::milliseconds(600));
  }

  fleet_view viewOf(const test_entry &Entry) const {
    fleet_view View{.Serial = 1,
                    .Plan = std::make_shared<fleet::routing_plan>(Plan)};
    for (const auto &Other : Entries)
      View.Entries.push_back(Other->Id);
    std::vector<placement::relay_peer> Peers;
    for (const auto &Other : Entries)
      Peers.push_back({.Id = Other->Id,
                       .DataCentre = "pos",
                       .Address = Other->RelayAddress});
    View.Relays = std::make_shared<const std::vector<placement::relay_peer>>(
        std::move(Peers));
    for (std::size_t Number = 0; Number < TargetCount; ++Number)
      View.Targets.push_back({.Id = Targets[Number]->id(),
                              .Service = "s",
                              .DataCentre = "pos",
                              .Address = Entry.Links[Number]->address(),
                              .Slots = 4,
                              .StartedAtMs = 1});
    return View;
  }

  void setLinks(std::size_t Entry, link_state State) {
    for (const auto &Link : Entries[Entry]->Links)
      Link->set(State);
  }

  template <typename Condition>
  bool runUntil(Condition Done,
                base::duration Limit = std::chrono::seconds(4)) {
    const base::instant End = Loop.now() + Limit;
    while (!Done() && Loop.now() < End)
      Loop.context().run_one_for(std::chrono::milliseconds(5));
    return Done();
  }
  void runFor(base::duration Time) {
    runUntil([] { return false; }, Time);
  }

  /// Sends one request to the entry and returns its response.
  std::string fetch(std::size_t Entry, const std::string &Bytes) {
    test_caller Caller(Loop, true, Entries[Entry]->Address);
    Caller.send(Bytes);
    runUntil([&Caller] {
      const auto HeadEnd = Caller.Received.find("\r\n\r\n");
      return HeadEnd != std::string::npos || Caller.Ended;
    });
    runFor(std::chrono::milliseconds(5));
    const std::string Received = Caller.Received;
    Caller.close();
    Loop.context().poll();
    return Received;
  }

  /// Returns how many of \p Count requests to the entry were served.
  int served(std::size_t Entry, int Count, const char *Method = "GET",
             const char *Path = "/read/") {
    int Served = 0;
    for (int Number = 0; Number < Count; ++Number) {
      const std::string Id = std::to_string(++LastRequest);
      const std::string Response =
          fetch(Entry, requestWithId(Method, Path + Id, "id" + Id));
      if (Response.find("ran") != std::string::npos)
        ++Served;
    }
    return Served;
  }

  static std::string requestWithId(const std::string &Method,
                                   const std::string &Path,
                                   const std::string &Id,
                                   const std::string &Body = "") {
    return Method + " " + Path + " HTTP/1.1\r\nHost: a.example\r\n" +
           "T-Request: " + Id + "\r\nT-Deadline: 2000\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  std::size_t requestCount() const {
    std::size_t Count = 0;
    for (const auto &Target : Targets)
      Count += Target->requests().size();
    return Count;
  }

private:
  int LastRequest = 0;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_TESTS_FLEETFIXTURE_H
