// Callers whose bodies stop just short of their end, beside ordinary ones.
//
// Sends: sixteen ordinary clients send requests of a route that is not
// idempotent, each on a kept connection; an upstream works for 1 s on each.
// The crowd (TROUBLE=0: none) opens 316 connections: at the readiness check 8
// with bodies of 8,000,000 bytes and 300 with bodies of 60,000 bytes, at a path
// without a route 8 with bodies of 3,400,000 bytes. The last ten bytes of each
// body are never sent. Plays the platform: an entry that holds more than 112 MB
// is killed. Checks: no more than three ordinary requests that an upstream ran
// end with a closed connection and no answer.

#include "upstream.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>

namespace {

using namespace review;

constexpr long MemoryMb = 112;
constexpr long KibPerMb = 1'024;
constexpr int OrdinaryClients = 16;
constexpr std::int64_t CrowdMs = 8'000;
constexpr int MostLost = 3;

const std::string Configuration =
    R"({"version":"r1","limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"listeners":[{"host":"ficu95.example",)"
    R"("policy":[{"name":"r-1","kind":"unsafe","target_latency_ms":2000,)"
    R"("priority":1,"match":{"path_prefix":"/pufi791/"},"action":)"
    R"({"service":"huvo11a","timeout_ms":4000,"attempts":2}}]}],)"
    R"("clusters":[{"name":"huvo11a","health_path":"/healthz",)"
    R"("max_conns":300,"protocol":"h1","tls":false,"warmup_s":3.0,)"
    R"("warmup_per_s":15.0}]})";

/// The ordinary clients and what became of their requests.
class clients {
public:
  clients(const endpoint &To, record &Written) : Front(To), Record(Written) {
    for (int Number = 1; Number <= OrdinaryClients; ++Number)
      Threads.emplace_back([this, Number] { run(Number); });
  }
  ~clients() { stop(); }
  void stop() {
    Stop = true;
    for (std::thread &Client : Threads)
      Client.join();
    Threads.clear();
  }
  [[nodiscard]] int good() const { return Good; }
  /// Whether a request on a kept connection ended with the connection.
  bool wasClosed(const std::string &Id) {
    const std::scoped_lock Held(Lock);
    return Closed.contains(Id);
  }

private:
  void run(int Number) {
    connection Link;
    for (int Turn = 0; !Stop; ++Turn) {
      const bool Kept = Link.isOpen();
      if (!Kept && !Link.open(Front, 1'000)) {
        sleepMs(100);
        continue;
      }
      const std::string Id =
          pad(static_cast<std::uint64_t>(Number * 100'000 + Turn));
      const bool Written = Link.send(
          "POST /pufi791/" + Id + " HTTP/1.1\r\nHost: ficu95.example\r\n" +
          "X-Attempt-Id: " + Id +
          "\r\nX-Deadline-Ms: 5000\r\nContent-Length: 1\r\n\r\nx");
      const auto Reply = Written ? Link.read(5'000) : std::nullopt;
      Record.line("answer " + Id + " " +
                  (Reply          ? std::to_string(Reply->status())
                   : Link.ended() ? "connection closed"
                                  : "none"));
      Good += Reply && Reply->status() == 200 ? 1 : 0;
      if (!Reply && Kept && Link.ended()) {
        const std::scoped_lock Held(Lock);
        Closed.insert(Id);
      }
      if (!Reply)
        Link.close();
    }
  }

  endpoint Front;
  record &Record;
  std::atomic<bool> Stop = false;
  std::atomic<int> Good = 0;
  std::mutex Lock;
  std::set<std::string> Closed;
  std::vector<std::thread> Threads;
};

/// Connections with a body that lacks its last ten bytes.
class crowd {
public:
  void add(const endpoint &To, const std::string &Target, int Count,
           std::size_t BodyBytes) {
    const std::string Request = "POST " + Target +
                                " HTTP/1.1\r\nHost: ficu95.example\r\n" +
                                "Content-Length: " + std::to_string(BodyBytes) +
                                "\r\n\r\n" + std::string(BodyBytes - 10, 'x');
    for (int Index = 0; Index < Count; ++Index) {
      Links.push_back(std::make_unique<connection>());
      if (Links.back()->open(To, 1'000))
        Links.back()->send(Request);
    }
  }

private:
  std::vector<std::unique_ptr<connection>> Links;
};

int play(const std::string &RecordFile) {
  record Record(RecordFile);
  const char *Set = std::getenv("TROUBLE");
  const bool Trouble = Set == nullptr || std::string(Set) != "0";
  deployment Fleet(3, 1, {"trakia", "kapana", "maritsa"}, MemoryMb);
  Fleet.start();
  const auto Accepted = callControl(Fleet, 0, "POST", "/v1/Config.Replace",
                                    Configuration, 15'000);
  if (!Accepted || Accepted->status() != 200)
    return 2;
  upstream Upstream({.Id = "i-0",
                     .Service = "huvo11a",
                     .Zone = Fleet.zones()[0],
                     .At = {Fleet.address(100), 8080},
                     .Slots = 32,
                     .WorkMs = 1'000},
                    Record);
  Upstream.startHeartbeats(Fleet);
  sleepMs(3'000);
  clients Clients(Fleet.frontOf(0), Record);
  std::atomic<bool> Stop = false;
  std::atomic<long> PeakKib = 0;
  std::atomic<int> Kills = 0;
  std::thread Platform([&] {
    while (!Stop) {
      const long Kib = Fleet.entry(0).residentKib();
      PeakKib = std::max<long>(PeakKib, Kib);
      if (Kib > MemoryMb * KibPerMb) {
        Fleet.entry(0).kill();
        ++Kills;
        Record.line("entry-0 killed over the memory limit at " +
                    std::to_string(Kib / KibPerMb) + " MB");
        sleepMs(500);
        Fleet.entry(0).start();
      }
      sleepMs(5);
    }
  });
  sleepMs(4'000);
  const int GoodBefore = Clients.good();
  Record.line("entry-0 holds " + std::to_string(PeakKib / KibPerMb) + " MB");
  {
    crowd Crowd;
    if (Trouble) {
      Record.line("the crowd comes");
      Crowd.add(Fleet.readinessOf(0), "/v1/readyz", 8, 8'000'000);
      Crowd.add(Fleet.frontOf(0), "/none", 8, 3'400'000);
      Crowd.add(Fleet.readinessOf(0), "/v1/readyz", 300, 60'000);
    }
    for (std::int64_t Waited = 0; Waited < CrowdMs && Kills == 0; Waited += 100)
      sleepMs(100);
  }
  sleepMs(2'000);
  Clients.stop();
  Stop = true;
  Platform.join();
  const std::vector<run_entry> Runs = Upstream.runs();
  const auto Lost =
      std::count_if(Runs.begin(), Runs.end(), [&](const run_entry &Run) {
        return Clients.wasClosed(Run.Attempt);
      });
  Record.line(
      "ordinary requests answered 200: " + std::to_string(Clients.good()) +
      "; run at the upstream and closed without an answer: " +
      std::to_string(Lost) + "; entry-0 killed " + std::to_string(Kills) +
      " times, peak " + std::to_string(PeakKib / KibPerMb) + " MB of " +
      std::to_string(MemoryMb));
  if (GoodBefore < 10)
    return 2;
  Record.line(Lost > MostLost ? "broken" : "held");
  return Lost > MostLost ? 1 : 0;
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
