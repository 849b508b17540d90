// Repeats the question until the crash detector has its answer.

#include "internal/suspectchecker.h"

#include "internal/look.h"

namespace fulmar::gateway {

namespace {

/// Between two questions to a target that has not answered: as long as a look
/// may take.
constexpr base::duration AskInterval = std::chrono::milliseconds(250);

} // namespace

suspect_checker::suspect_checker(gateway_state &Owner)
    : State(Owner), Timer(Owner.Loop) {}

void suspect_checker::add(const std::shared_ptr<service_state> &Service,
                          const fleet::target_report &Target) {
  Asked.insert_or_assign(Target.Id,
                         suspect{.Service = Service, .Target = Target});
  // One question serves all the requests that broke at the same moment.
  askLater({});
}

void suspect_checker::askLater(base::duration Wait) {
  if (std::exchange(Armed, true))
    return;
  Timer.after(Wait, [this] {
    Armed = false;
    ask();
  });
}

void suspect_checker::ask() {
  const base::instant Now = State.Loop.now();
  State.Crashes.forgetOld(Now);
  std::erase_if(Asked, [this](const auto &Entry) {
    return !State.Crashes.suspects(base::target_id(Entry.first));
  });
  const std::size_t Allowed = State.Probes.take(Asked.size(), Now);
  std::size_t Count = 0;
  for (const auto &[Id, Suspect] : Asked) {
    if (Count++ == Allowed)
      break;
    const auto Question =
        std::make_shared<look>(State, Suspect.Service, Suspect.Target);
    Question->start({});
    Question->release();
  }
  if (!Asked.empty())
    askLater(AskInterval);
}

} // namespace fulmar::gateway
