// Repeats probes of suspects until the crash detector has a result.

#include "internal/suspectchecker.h"

#include "internal/targetprobe.h"

#include <vector>

namespace fulmar::gateway {

namespace {

/// Far above the time in which a target accepts a connection.
constexpr base::duration ConnectionTestTimeout = std::chrono::milliseconds(250);
/// A rack may have crashed: further targets are asked until one accepts.
constexpr std::size_t MaxConnectionTests = 4;

} // namespace

suspect_checker::suspect_checker(gateway_state &Owner)
    : State(Owner), Timer(Owner.Loop) {}

void suspect_checker::add(const std::shared_ptr<service_state> &Service,
                          const fleet::target_report &Target) {
  Suspects.insert_or_assign(Target.Id,
                            suspect{.Service = Service, .Target = Target});
  // A single probe serves all requests whose attempts broke at the same time.
  Timer.after({}, [this] { probeDue(); });
}

void suspect_checker::refused(const std::shared_ptr<service_state> &Service,
                              const std::string &Target) {
  if (State.CrashWatch.suspects(base::target_id(Target)))
    testConnection(Service, Target, {Target});
}

void suspect_checker::testConnection(
    const std::shared_ptr<service_state> &Service, const std::string &Suspect,
    std::set<std::string> Asked) {
  const auto [OtherService, Other] = otherTarget(Service, Asked);
  // With a single target, nothing can tell its crash from a partition.
  if (Other == nullptr && Asked.size() == 1) {
    State.CrashWatch.unreachable(base::target_id(Suspect), State.Loop.now());
    return;
  }
  if (Other == nullptr || Asked.size() > MaxConnectionTests)
    return;
  Asked.insert(Other->Id);
  const connection_ptr Connection = State.Pool.open(*Other);
  if (!Connection)
    return;
  target_call Call = healthCall(OtherService->Service, *Other);
  Call.Timeout = ConnectionTestTimeout;
  Connection->call(std::move(Call), [this, Service, Suspect, Connection,
                                     Asked](const auto & /*Response*/) {
    State.Pool.release(Connection);
    if (!Connection->connected())
      return testConnection(Service, Suspect, Asked);
    State.CrashWatch.unreachable(base::target_id(Suspect), State.Loop.now());
  });
}

std::pair<std::shared_ptr<service_state>, const fleet::target_report *>
suspect_checker::otherTarget(const std::shared_ptr<service_state> &Service,
                             const std::set<std::string> &Asked) const {
  std::vector<std::shared_ptr<service_state>> Services = {Service};
  for (const auto &[Name, Other] : State.Services)
    Services.push_back(Other);
  for (const auto &Held : Services) {
    const auto Ids = Held->Placement.candidates(
        {.Excluded = Asked, .Count = 1, .WidenSearch = true}, State.Loop.now());
    if (!Ids.empty())
      return {Held, Held->Placement.find(Ids.front())};
  }
  return {nullptr, nullptr};
}

void suspect_checker::probeDue() {
  const base::instant Now = State.Loop.now();
  State.CrashWatch.expire(Now);
  std::erase_if(Suspects, [this](const auto &Entry) {
    return !State.CrashWatch.suspects(base::target_id(Entry.first));
  });
  for (const base::target_id &Due : State.CrashWatch.takeDueProbes(Now)) {
    const auto Found = Suspects.find(Due.str());
    if (Found != Suspects.end())
      std::make_shared<target_probe>(State, Found->second.Service,
                                     Found->second.Target)
          ->startOnNewConnection();
  }
  if (!Suspects.empty())
    Timer.after(routing::ProbeInterval, [this] { probeDue(); });
}

} // namespace fulmar::gateway
