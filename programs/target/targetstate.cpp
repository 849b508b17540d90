// Cold start, limits, counts and load reports of a stand-in target.

#include "targetstate.h"

#include <Poco/Process.h>

#include <algorithm>
#include <utility>

namespace fulmar::target {

namespace {

constexpr std::chrono::seconds LoadHistory(30);

std::string newIncarnation(std::uint32_t Restarts) {
  const auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return std::to_string(Now.count()) + "-" +
         std::to_string(Poco::Process::id()) + "-" + std::to_string(Restarts);
}

Poco::JSON::Object tableOf(const std::map<std::string, std::uint64_t> &Runs) {
  Poco::JSON::Object Table;
  for (const auto &[Name, Count] : Runs)
    Table.set(Name, Count);
  return Table;
}

} // namespace

target_state::target_state(target_options Settings)
    : Options(std::move(Settings)), ColdSince(Clock.now()),
      Incarnation(newIncarnation(Restarts)) {}

bool target_state::begin() {
  const std::lock_guard Lock(Mutex);
  ++Arrived;
  ++InFlight;
  if (Draining)
    ++ArrivedWhileDraining;
  const bool Cold = coldLocked();
  std::uint32_t &Peak = Cold ? PeakCold : PeakWarm;
  Peak = std::max(Peak, InFlight);
  noteLoadLocked();
  if (InFlight <= (Cold ? Options.BearsCold : Options.Slots))
    return true;
  ++Refused;
  return false;
}

void target_state::end() {
  const std::lock_guard Lock(Mutex);
  --InFlight;
  noteLoadLocked();
}

void target_state::countRun(const std::string &Key, const std::string &Tag) {
  const std::lock_guard Lock(Mutex);
  if (!Key.empty())
    ++RunsByKey[Key];
  if (!Tag.empty())
    ++RunsByTag[Tag];
}

void target_state::countCancelled() {
  const std::lock_guard Lock(Mutex);
  ++Cancelled;
}

void target_state::countProbe() {
  const std::lock_guard Lock(Mutex);
  ++Probes;
}

void target_state::drain() {
  const std::lock_guard Lock(Mutex);
  Draining = true;
}

void target_state::turnCold(bool Restarted) {
  const std::lock_guard Lock(Mutex);
  ColdSince = Clock.now();
  PeakCold = 0;
  if (Restarted)
    Incarnation = newIncarnation(++Restarts);
}

void target_state::change(const target_behaviour &Wanted) {
  const std::lock_guard Lock(Mutex);
  Behaviour = Wanted;
}

target_behaviour target_state::behaviour() const {
  const std::lock_guard Lock(Mutex);
  return Behaviour;
}

std::uint32_t target_state::inFlight() const {
  const std::lock_guard Lock(Mutex);
  return InFlight;
}

std::string target_state::incarnation() const {
  const std::lock_guard Lock(Mutex);
  return Incarnation;
}

double target_state::reportedLoad() const {
  const std::lock_guard Lock(Mutex);
  return reportedLoadLocked();
}

bool target_state::coldLocked() const {
  return Clock.now() - ColdSince < Options.Warmup;
}

double target_state::reportedLoadLocked() const {
  if (Behaviour.LieLoad >= 0)
    return Behaviour.LieLoad;
  const base::instant Seen = Clock.now() - Behaviour.LoadLag;
  double Load = 0;
  for (const auto &[At, Value] : Loads) {
    if (At > Seen)
      break;
    Load = Value;
  }
  return Load;
}

void target_state::noteLoadLocked() {
  const base::instant Now = Clock.now();
  while (Loads.size() > 1 && Loads.front().first < Now - LoadHistory)
    Loads.pop_front();
  constexpr std::size_t MaxLoads = 4096;
  if (Loads.size() == MaxLoads)
    Loads.pop_front();
  const std::uint32_t Bears = coldLocked() ? Options.BearsCold : Options.Slots;
  Loads.emplace_back(
      Now, std::min(1.0, static_cast<double>(InFlight) / std::max(1U, Bears)));
}

Poco::JSON::Object target_state::announcement(const std::string &Address) {
  const std::lock_guard Lock(Mutex);
  const bool Cold = coldLocked();
  Poco::JSON::Object Message;
  Message.set("id", Options.Id);
  Message.set("service", Options.Service);
  Message.set("data_centre", Options.DataCentre);
  Message.set("address", Address);
  Message.set("incarnation", Incarnation);
  Message.set("state", Draining ? "draining" : Cold ? "cold" : "warm");
  Message.set("slots", Options.Slots);
  Message.set("connections", Options.Connections);
  Message.set("bears", Cold ? Options.BearsCold : Options.Slots);
  Message.set("load", reportedLoadLocked());
  Message.set("in_flight", InFlight);
  return Message;
}

Poco::JSON::Object target_state::counts() const {
  const std::lock_guard Lock(Mutex);
  Poco::JSON::Object Table;
  Table.set("id", Options.Id);
  Table.set("incarnation", Incarnation);
  Table.set("cold", coldLocked());
  Table.set("in_flight", InFlight);
  Table.set("peak_in_flight_cold", PeakCold);
  Table.set("peak_in_flight_warm", PeakWarm);
  Table.set("arrived", Arrived);
  Table.set("arrived_while_draining", ArrivedWhileDraining);
  Table.set("refused", Refused);
  Table.set("cancelled", Cancelled);
  Table.set("probes", Probes);
  Table.set("runs_by_key", tableOf(RunsByKey));
  Table.set("runs_by_tag", tableOf(RunsByTag));
  return Table;
}

} // namespace fulmar::target
