// CONFIG: a core whose voters were reduced one outage after the other never
// recovers from the loss of as many disks as the deployment tolerates.
//
// Sends: an operator puts a configuration on eleven control instances (of which
// two may lose their disks). Five machines lose power, then two more, then one
// more, each time once the instances that are left have taken the others out of
// the voters. The operator changes the configuration. Two of the last three
// machines lose their disks (with TROUBLE=0: power only) and all eight others
// come back with theirs.
// Checks: once all are back for recovery_s (15 s), some instance answers a read
// of the configuration within 15 s with the newest acknowledged version, and
// none answers with an older one.

#include "standins.h"

using namespace review;

namespace {

constexpr std::size_t Controls = 11;
constexpr std::int64_t RecoveryMs = 15'000;
constexpr std::int64_t ReadingMs = 15'000;
/// A silent voter is taken out after 8 s, one every 0.5 s.
constexpr std::int64_t ReductionMs = 13'000;

configuration wanted(int Version) {
  return {.Version = Version,
          .Routes = {{"lookup", "safe", "/lookup/", "permits", 500 + Version,
                      200, 2}},
          .Services = {"permits"}};
}

verdict play(const std::string &Root, const std::string &Folder, record &Log,
             bool Trouble) {
  deployment Fleet(Root, Folder, Log, Controls, 0);
  if (!Fleet.start() || Fleet.putConfiguration(text(wanted(1)), 20'000) != 200)
    return verdict::CouldNotRun;
  sleepMs(6'000);
  for (const auto &[First, Last] :
       {std::pair(6, 10), std::pair(4, 5), std::pair(3, 3)}) {
    for (int Index = First; Index <= Last; ++Index)
      Fleet.killControl(static_cast<std::size_t>(Index));
    sleepMs(ReductionMs);
  }
  if (Fleet.putConfiguration(text(wanted(2)), 10'000) != 200)
    return verdict::CouldNotRun;
  for (const std::size_t Index : {1U, 2U})
    Fleet.killControl(Index);
  for (const std::size_t Index : {1U, 2U})
    Fleet.restartControl(Index, Trouble);
  for (std::size_t Index = 3; Index < Controls; ++Index)
    Fleet.restartControl(Index, false);
  sleepMs(RecoveryMs);

  const std::int64_t Until = nowMs() + ReadingMs;
  bool Newest = false;
  bool Older = false;
  for (std::size_t Turn = 0; nowMs() < Until && !Newest; ++Turn) {
    const auto Answer = call(Fleet.control(Turn % Controls), "GET",
                             "/v1/Config.Get", {}, 1'000);
    Newest = Answer.Status == 200 &&
             Answer.Body.find(R"("version":"r2")") != std::string::npos;
    Older = Older || (Answer.Status == 200 && !Newest);
    Log.write("read back at core-" + std::to_string(Turn % Controls + 1) +
              ": status " + std::to_string(Answer.Status) +
              (Newest ? ", r2" : ""));
    sleepMs(200);
  }
  const int Status = Fleet.putConfiguration(text(wanted(3)), 5'000);
  Log.write("a further change: status " + std::to_string(Status));
  return Newest && !Older ? verdict::Held : verdict::Broken;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
