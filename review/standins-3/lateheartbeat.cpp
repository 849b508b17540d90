// An upstream leaves while one of its heartbeats is still on its way.
//
// Sends: a configuration, heartbeats of three upstreams, and 20 requests a
// second of a route that is not idempotent, at two entries in turn. A fourth
// upstream starts; its heartbeat takes 2.5 s to arrive (TROUBLE=0: none). After
// 0.5 s the upstream sends its departure to another control instance and
// serves for 8 s more. Checks: no request reaches it later than drain_ms after
// the departure was acknowledged.

#include "upstream.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace review;

constexpr std::int64_t DrainMs = 2'000;
constexpr std::int64_t DelayMs = 2'500;
constexpr std::int64_t ServesMs = 8'000;

const std::string Configuration =
    R"({"version":"r1","limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"listeners":[{"host":"ficu95.example",)"
    R"("policy":[{"name":"r-1","kind":"unsafe","target_latency_ms":250,)"
    R"("priority":1,"match":{"path_prefix":"/pufi791/"},"action":)"
    R"({"service":"huvo11a","timeout_ms":600,"attempts":2}}]}],)"
    R"("clusters":[{"name":"huvo11a","health_path":"/healthz",)"
    R"("max_conns":300,"protocol":"h1","tls":false,"warmup_s":3.0,)"
    R"("warmup_per_s":15.0}]})";

/// Clients: a request each 50 ms on a new connection.
class clients {
public:
  clients(deployment &Played, record &Written)
      : Fleet(Played), Record(Written), Thread([this] { run(); }) {}
  ~clients() { stop(); }
  void stop() {
    Stop = true;
    if (Thread.joinable())
      Thread.join();
  }
  [[nodiscard]] int good() const { return Good; }
  [[nodiscard]] int failed() const { return Failed; }

private:
  void run() {
    for (std::uint64_t Number = 1; !Stop; ++Number) {
      const std::string Id = pad(Number);
      const auto Reply = call(Fleet.frontOf(Number % Fleet.entries()), "POST",
                              "/pufi791/" + Id, "x", 1'000,
                              "Host: ficu95.example\r\nX-Attempt-Id: " + Id +
                                  "\r\nX-Deadline-Ms: 600\r\n");
      const int Status = Reply ? Reply->status() : 0;
      (Status == 200 ? Good : Failed)++;
      Record.line("answer " + Id + " " + std::to_string(Status));
      sleepMs(20);
    }
  }

  deployment &Fleet;
  record &Record;
  std::atomic<bool> Stop = false;
  std::atomic<int> Good = 0;
  std::atomic<int> Failed = 0;
  std::thread Thread;
};

int play(const std::string &RecordFile) {
  record Record(RecordFile);
  const char *Set = std::getenv("TROUBLE");
  const bool Trouble = Set == nullptr || std::string(Set) != "0";
  deployment Fleet(3, 2, {"trakia", "kapana", "maritsa"});
  Fleet.start();
  const auto Accepted = callControl(Fleet, 0, "POST", "/v1/Config.Replace",
                                    Configuration, 15'000);
  if (!Accepted || Accepted->status() != 200)
    return 2;
  std::vector<std::unique_ptr<upstream>> Upstreams;
  for (int Index = 0; Index < 3; ++Index) {
    Upstreams.push_back(std::make_unique<upstream>(
        upstream_settings{.Id = "i-" + std::to_string(Index),
                          .Service = "huvo11a",
                          .Zone =
                              Fleet.zones()[static_cast<std::size_t>(Index)],
                          .At = {Fleet.address(100 + Index), 8080}},
        Record));
    Upstreams.back()->startHeartbeats(Fleet);
  }
  sleepMs(3'000);
  clients Clients(Fleet, Record);
  sleepMs(3'000);
  if (Clients.good() < 10)
    return 2;

  upstream Leaving({.Id = "i-leaving",
                    .Service = "huvo11a",
                    .Zone = Fleet.zones()[0],
                    .At = {Fleet.address(110), 8080}},
                   Record);
  const std::string Heartbeat = Leaving.heartbeat("ready");
  Record.line("i-leaving sends its heartbeat");
  // The network: the bytes arrive late.
  std::thread Network([&] {
    sleepMs(Trouble ? DelayMs : 0);
    const auto Reply =
        call(Fleet.controlAt(0), "POST", "/v1/Instances.Heartbeat/i-leaving",
             Heartbeat, 1'000);
    Record.line("the heartbeat has arrived, answer " +
                std::to_string(Reply ? Reply->status() : 0));
  });
  sleepMs(500);
  const auto Left =
      callControl(Fleet, 1, "POST", "/v1/Instances.Deregister/i-leaving",
                  Leaving.departure(), 4'000);
  if (!Left || Left->status() != 200) {
    Network.join();
    return 2;
  }
  const std::int64_t LeftAt = nowMs();
  Record.line("the departure of i-leaving is acknowledged");
  sleepMs(ServesMs);
  Leaving.exit();
  Record.line("i-leaving exits");
  Network.join();
  sleepMs(1'000);
  Clients.stop();
  int Late = 0;
  std::int64_t Latest = 0;
  for (const run_entry &Run : Leaving.runs()) {
    if (Run.AtMs > LeftAt + DrainMs) {
      ++Late;
      Latest = Run.AtMs - LeftAt;
    }
  }
  Record.line(std::to_string(Late) + " requests reached i-leaving later than " +
              std::to_string(DrainMs) +
              " ms after the acknowledgement, the last after " +
              std::to_string(Latest) + " ms; clients got 200 for " +
              std::to_string(Clients.good()) + ", else for " +
              std::to_string(Clients.failed()));
  Record.line(Late == 0 ? "held" : "broken");
  return Late == 0 ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return play(Arguments[1]);
  } catch (const std::exception &Fault) {
    std::cerr << Fault.what() << "\n";
    return 2;
  }
}
