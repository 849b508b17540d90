// The loop of a link's task.

#include "fulmar/wire/rpclink.h"

namespace fulmar::wire {

rpc_link::rpc_link(std::string Address)
    : Client(std::move(Address)), Thread([this] { run(); }) {}

rpc_link::~rpc_link() {
  Calls.close();
  Thread.join();
}

bool rpc_link::post(call Call) {
  if (Pending.load() >= MaxQueued)
    return false;
  ++Pending;
  if (Calls.post(std::move(Call)))
    return true;
  --Pending;
  return false;
}

void rpc_link::run() {
  constexpr auto IdleWait = std::chrono::seconds(1);
  while (!Calls.closed()) {
    const auto Call = Calls.take(IdleWait);
    if (!Call || Calls.closed())
      continue;
    const auto Outcome =
        Client.call(Call->Method, Call->Parameters, Call->Timeout);
    --Pending;
    if (Call->Completion)
      Call->Completion(Outcome);
  }
}

} // namespace fulmar::wire
