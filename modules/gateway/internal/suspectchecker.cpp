// Repeats the question until the crash detector has its answer.

#include "internal/suspectchecker.h"

#include "internal/look.h"

namespace fulmar::gateway {

namespace {

/// Between two questions to a target that has not answered: as long as a look
/// may take. So few of them need no budget.
constexpr base::duration AskInterval = std::chrono::milliseconds(250);

} // namespace

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
  State.Crashes.expire(State.Loop.now());
  std::erase_if(Asked, [this](const auto &Entry) {
    return !State.Crashes.suspects(base::target_id(Entry.first));
  });
  for (const auto &[Id, Suspect] : Asked)
    std::make_shared<look>(State, Suspect.Service, Suspect.Target)->startAnew();
  if (!Asked.empty())
    Timer.after(AskInterval, [this] { ask(); });
}

} // namespace fulmar::gateway
