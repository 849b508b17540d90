// Repeats probes of suspects until the crash detector has a result.

#include "internal/suspectchecker.h"

#include "internal/targetprobe.h"

namespace fulmar::gateway {

suspect_checker::suspect_checker(gateway_state &Owner)
    : State(Owner), Timer(Owner.Loop) {}

void suspect_checker::add(const std::shared_ptr<service_state> &Service,
                          const fleet::target_report &Target) {
  Suspects.insert_or_assign(Target.Id,
                            suspect{.Service = Service, .Target = Target});
  // A single probe serves all requests whose attempts broke at the same time.
  Timer.after({}, [this] { probeDue(); });
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
