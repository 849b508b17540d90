// CONFIG: after hundreds of changes of a long configuration, no control
// instance survives a restart of the core within its memory.
//
// Sends: an operator puts a configuration with 1,400 more routes, then 600 new
// versions of it, one at a time and at most one in 60 ms, each with another
// time-out of one route. Then
// all five control processes are killed at the same moment and started again
// 0.8 s later with their disks (not with TROUBLE=0). The platform's stand-in
// reads each control process's resident memory every 10 ms, kills a process
// that uses more than memory_mb (256), and starts it again after 1 s. Checks:
// when the processes have been back for recovery_s (15 s), some control
// instance answers a read of the configuration within the next 10 s, with the
// newest acknowledged version or a later one.

#include "standins.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

using namespace review;

namespace {

constexpr std::size_t Controls = 5;
constexpr int MoreRoutes = 1'400;
constexpr int Changes = 600;
constexpr std::size_t MemoryBytes = std::size_t(256) << 20U;
constexpr std::int64_t SendingMs = 60'000;
/// As in the densest config_storm of the site file.
constexpr std::int64_t GapMs = 60;
constexpr std::int64_t RecoveryMs = 15'000;
constexpr std::int64_t ReadingMs = 10'000;
constexpr std::int64_t RestartMs = 1'000;
constexpr std::int64_t BackMs = 800;

configuration wanted(int Version, bool Long) {
  configuration Wanted{.Version = Version,
                       .Routes = {{"lookup", "safe", "/lookup/", "permits",
                                   500 + Version % 100, 200, 2}},
                       .Services = {"permits"}};
  for (int Number = 0; Long && Number < MoreRoutes; ++Number)
    Wanted.Routes.push_back({"r-" + std::to_string(Number), "safe",
                             "/more" + std::to_string(Number) + "/", "permits",
                             500, 200, 2});
  return Wanted;
}

int versionIn(const std::string &Document) {
  const auto At = Document.find(R"("version":"r)");
  return At == std::string::npos ? 0 : std::atoi(Document.c_str() + At + 12);
}

/// The part of the platform that keeps processes within their memory.
class platform {
public:
  platform(deployment &Watched, record &Record) : Fleet(Watched), Log(Record) {}

  void watchUntil(std::int64_t Until, const std::atomic<bool> &Early) {
    while (nowMs() < Until && !Early) {
      for (std::size_t Index = 0; Index < Controls; ++Index)
        watch(Index);
      sleepMs(10);
    }
  }
  /// Kills all at once; they are back within a second.
  void killAll() {
    for (std::size_t Index = 0; Index < Controls; ++Index)
      Fleet.signalControl(Index, SIGKILL);
    for (std::size_t Index = 0; Index < Controls; ++Index) {
      Fleet.killControl(Index);
      StartAt[Index] = nowMs() + BackMs;
    }
  }
  [[nodiscard]] const std::vector<int> &kills() const { return Kills; }
  [[nodiscard]] std::size_t peak() const { return Peak; }

private:
  void watch(std::size_t Index) {
    if (StartAt[Index] > 0) {
      if (nowMs() < StartAt[Index])
        return;
      StartAt[Index] = 0;
      return Fleet.restartControl(Index, false);
    }
    const std::size_t Bytes = Fleet.controlBytes(Index);
    Peak = std::max(Peak, Bytes);
    if (Bytes <= MemoryBytes)
      return;
    ++Kills[Index];
    Log.write("core-" + std::to_string(Index + 1) + " uses " +
              std::to_string(Bytes >> 20U) + " MiB, over its limit");
    Fleet.killControl(Index);
    StartAt[Index] = nowMs() + RestartMs;
  }

  deployment &Fleet;
  record &Log;
  std::vector<int> Kills = std::vector<int>(Controls, 0);
  std::vector<std::int64_t> StartAt = std::vector<std::int64_t>(Controls, 0);
  std::size_t Peak = 0;
};

verdict play(const std::string &Root, const std::string &Folder, record &Log,
             bool Trouble) {
  deployment Fleet(Root, Folder, Log, Controls, 1);
  if (!Fleet.start())
    return verdict::CouldNotRun;
  if (Fleet.putConfiguration(text(wanted(1, false)), 20'000) != 200)
    return verdict::CouldNotRun;
  sleepMs(3'000);

  platform Platform(Fleet, Log);
  std::atomic<int> Acknowledged = 1;
  std::atomic<bool> Sent = false;
  const std::int64_t SendUntil = nowMs() + SendingMs;
  std::thread Operator([&] {
    for (int Version = 2; Version <= Changes + 1 && nowMs() < SendUntil;
         ++Version) {
      const std::int64_t Next = nowMs() + GapMs;
      const std::string Document = text(wanted(Version, true));
      if (Version == 2)
        Log.write("a configuration of " + std::to_string(Document.size()) +
                  " bytes is sent");
      for (std::size_t Turn = 0; nowMs() < SendUntil; ++Turn) {
        const int Status =
            call(Fleet.control((Turn + static_cast<std::size_t>(Version)) %
                               Controls),
                 "POST", "/v1/Config.Replace", Document, 1'000)
                .Status;
        if (Status == 200) {
          Acknowledged = Version;
          break;
        }
        sleepMs(50);
      }
      sleepUntil(Next);
      if (Version % 50 == 0)
        Log.write("r" + std::to_string(Acknowledged) + " is acknowledged, " +
                  std::to_string(Fleet.controlBytes(0) >> 20U) +
                  " MiB at core-1");
    }
    Sent = true;
  });
  Platform.watchUntil(SendUntil + 5'000, Sent);
  Operator.join();
  const int Newest = Acknowledged;
  Log.write("sent all; newest acknowledged version r" + std::to_string(Newest) +
            ", most memory so far " + std::to_string(Platform.peak() >> 20U) +
            " MiB");
  const std::atomic<bool> Never = false;
  if (Newest < Changes + 1 || Platform.peak() > MemoryBytes)
    return verdict::CouldNotRun;
  if (Trouble)
    Platform.killAll();
  Platform.watchUntil(nowMs() + BackMs + RecoveryMs, Never);

  std::atomic<bool> Read = false;
  std::atomic<bool> Finished = false;
  std::thread Reader([&] {
    const std::int64_t Until = nowMs() + ReadingMs;
    for (std::size_t Turn = 0; nowMs() < Until && !Read; ++Turn) {
      const auto Answer = call(Fleet.control(Turn % Controls), "GET",
                               "/v1/Config.Get", {}, 1'000);
      const int Version = Answer.Status == 200 ? versionIn(Answer.Body) : 0;
      Log.write("read back: status " + std::to_string(Answer.Status) + ", r" +
                std::to_string(Version));
      Read = Version >= Newest;
      sleepMs(300);
    }
    Finished = true;
  });
  Platform.watchUntil(nowMs() + ReadingMs + 3'000, Finished);
  Reader.join();
  std::string Counts;
  for (const int Kills : Platform.kills())
    Counts += " " + std::to_string(Kills);
  Log.write("ends over the memory limit, by machine:" + Counts);
  return Read ? verdict::Held : verdict::Broken;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
