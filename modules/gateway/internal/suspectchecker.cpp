// Repeats the question until the crash detector has its answer.

#include "internal/suspectchecker.h"

#include "internal/look.h"

namespace fulmar::gateway {

suspect_checker::suspect_checker(gateway_state &Owner)
    : State(Owner), Timer(Owner.Loop) {}

void suspect_checker::add(const std::shared_ptr<service_state> &Service,
                          const fleet::target_report &Target) {
  Asked.insert_or_assign(Target.Id,
                         suspect{.Service = Service, .Target = Target});
  // One question serves all the requests that broke at the same moment.
  Timer.after({}, [this] { ask(); });
}

void suspect_checker::ask() {
  const base::instant Now = State.Loop.now();
  State.Crashes.expire(Now);
  std::erase_if(Asked, [this](const auto &Entry) {
    return !State.Crashes.suspects(base::target_id(Entry.first));
  });
  for (const base::target_id &Due : State.Crashes.takeDueProbes(Now)) {
    const auto Found = Asked.find(Due.str());
    if (Found != Asked.end())
      std::make_shared<look>(State, Found->second.Service, Found->second.Target)
          ->startAnew();
  }
  if (!Asked.empty())
    Timer.after(routing::ProbeInterval, [this] { ask(); });
}

} // namespace fulmar::gateway
