// An operator sends many versions of a large configuration, one after the
// other; then all processes of the core are killed and started again, and the
// operator reads the configuration back.
//
// Sends: CHANGES configurations with ROUTES routes each. Checks: the newest
// acknowledged version is read back within recovery_s. Plays the platform: a
// control process whose memory exceeds MemoryMb is killed and started again.

#include "harness.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace review;

constexpr long MemoryMb = 256;
constexpr long KibPerMb = 1'024;
constexpr std::int64_t RecoveryMs = 15'000;
constexpr std::int64_t RestartMs = 500;

int setting(const char *Name, int Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::atoi(Text);
}

/// A complete configuration of \p Routes routes in two services.
std::string configuration(int Version, int Routes) {
  std::ostringstream Text;
  Text << R"({"version":"r)" << Version
       << R"(","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
       << R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
       << R"("listeners":[{"host":"ficu95.example","policy":[)";
  for (int Index = 0; Index < Routes; ++Index) {
    const std::string Id = pad(static_cast<std::uint64_t>(Index)).substr(9);
    Text << (Index == 0 ? "" : ",") << R"({"name":"r-)" << Id
         << R"(","kind":"safe","target_latency_ms":200,"priority":2,)"
         << R"("match":{"path_prefix":"/l)" << Id
         << R"(/"},"action":{"traffic_split":[)"
         << R"({"service":"huvo11a","weight":90},)"
         << R"({"service":"wuno96b","weight":10}],"timeout_ms":)"
         << 500 + Version % 100 << R"(,"attempts":2}})";
  }
  Text << R"(]}],"clusters":[)";
  for (const char *Service : {"huvo11a", "wuno96b"})
    Text << (Service[0] == 'h' ? "" : ",") << R"({"name":")" << Service
         << R"(","health_path":"/healthz","max_conns":300,"protocol":"h1",)"
         << R"("tls":false,"warmup_s":3.0,"warmup_per_s":15.0})";
  Text << "]}";
  return Text.str();
}

/// The platform: enforces the memory limit and restarts what has ended.
class platform {
public:
  platform(deployment &Played, record &Written)
      : Fleet(Played), Record(Written), Thread([this] { run(); }) {}
  ~platform() {
    Stop = true;
    Thread.join();
  }
  /// Kills all control processes at the same moment.
  void killAll() { KillAll = true; }
  [[nodiscard]] int limitKills() const { return LimitKills; }
  [[nodiscard]] long peakMb() const { return PeakKib / KibPerMb; }
  [[nodiscard]] int ownEnds() const { return OwnEnds; }

private:
  void run() {
    std::vector<std::int64_t> DownAt(Fleet.controls(), -1);
    while (!Stop) {
      const bool Kill = KillAll.exchange(false);
      for (std::size_t Index = 0; Index < Fleet.controls(); ++Index) {
        program &Control = Fleet.control(Index);
        const std::string Name = "control-" + std::to_string(Index);
        if (DownAt[Index] >= 0) {
          if (nowMs() - DownAt[Index] >= RestartMs) {
            DownAt[Index] = -1;
            Control.start();
            Record.line(Name + " started");
          }
          continue;
        }
        const long Kib = Control.residentKib();
        PeakKib = std::max<long>(PeakKib, Kib);
        if (Control.ended()) {
          ++OwnEnds;
          Record.line(Name + " ended by itself");
          DownAt[Index] = nowMs();
        } else if (Kill || Kib > MemoryMb * KibPerMb) {
          Control.kill();
          Record.line(Name + " killed" +
                      (Kill ? "" : " over the memory limit") + " at " +
                      std::to_string(Kib / KibPerMb) + " MB");
          LimitKills += Kill ? 0 : 1;
          DownAt[Index] = nowMs();
        }
      }
      sleepMs(2);
    }
  }

  deployment &Fleet;
  record &Record;
  std::atomic<bool> Stop = false;
  std::atomic<bool> KillAll = false;
  std::atomic<int> LimitKills = 0;
  std::atomic<int> OwnEnds = 0;
  std::atomic<long> PeakKib = 0;
  std::thread Thread;
};

int play(const std::string &RecordFile) {
  record Record(RecordFile);
  const bool Trouble = setting("TROUBLE", 1) != 0;
  const int Changes = setting("CHANGES", 300);
  const int Routes = setting("ROUTES", 1'400);
  deployment Fleet(5, 0, {"trakia", "kapana", "maritsa", "tepeto"});
  Fleet.start();
  platform Platform(Fleet, Record);
  int Newest = 0;
  constexpr std::int64_t FirstLimit = 10'000;
  constexpr std::int64_t ChangeLimit = 4'000;
  for (int Version = 1; Version <= Changes; ++Version) {
    const auto Reply =
        callControl(Fleet, static_cast<std::size_t>(Version), "POST",
                    "/v1/Config.Replace", configuration(Version, Routes),
                    Version == 1 ? FirstLimit : ChangeLimit);
    if (Reply && Reply->status() == 200)
      Newest = Version;
    else
      Record.line("r" + std::to_string(Version) + " not acknowledged");
    constexpr std::int64_t Gap = 60;
    sleepMs(Gap);
    constexpr int Report = 50;
    if (Version % Report == 0)
      Record.line("sent r" + std::to_string(Version) + ", " +
                  std::to_string(configuration(Version, Routes).size()) +
                  " bytes, newest acknowledged r" + std::to_string(Newest) +
                  ", peak " + std::to_string(Platform.peakMb()) + " MB");
  }
  if (Newest < Changes) {
    Record.line("the changes were not acknowledged");
    if (!Trouble || Platform.limitKills() == 0)
      return 2;
  }
  Fleet.endBootstrap();
  sleepMs(3'000);
  Record.line("before the kill: limit kills " +
              std::to_string(Platform.limitKills()));
  const int KillsBefore = Platform.limitKills();
  if (Trouble) {
    Record.line("all control processes are killed");
    Platform.killAll();
    sleepMs(RestartMs);
  }
  const std::int64_t BackAt = nowMs();
  constexpr std::int64_t ReadFor = 20'000;
  int ReadBack = 0;
  std::int64_t ReadAt = -1;
  for (std::size_t Turn = 0; nowMs() - BackAt < ReadFor; ++Turn) {
    const auto Reply = call(Fleet.controlAt(Turn % Fleet.controls()), "GET",
                            "/v1/Config.Get", "", 1'000);
    if (Reply && Reply->status() == 200) {
      ReadBack = std::atoi(Reply->Body.c_str() +
                           Reply->Body.find("\"version\":\"r") + 12);
      ReadAt = nowMs() - BackAt;
      break;
    }
    sleepMs(200);
  }
  Record.line("newest acknowledged r" + std::to_string(Newest) +
              ", read back r" + std::to_string(ReadBack) + " after " +
              std::to_string(ReadAt) + " ms; killed over the memory limit " +
              std::to_string(Platform.limitKills() - KillsBefore) +
              " times since, peak " + std::to_string(Platform.peakMb()) +
              " MB, ended by themselves " + std::to_string(Platform.ownEnds()));
  const bool Held = ReadBack >= Newest && ReadAt <= RecoveryMs;
  Record.line(Held ? "held" : "broken");
  return Held ? 0 : 1;
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
