// Permits by message and reply slot.

#include "entryrouter.h"

namespace fulmar::entry {

base::result<routing::permit>
entry_router::acquire(const routing::request_profile &Request,
                      std::span<const routing::attempt> Earlier) {
  // The task answers every waiting request by its deadline; the limit only
  // guards against a task that has ended.
  constexpr auto TaskLimit = std::chrono::minutes(2);
  const auto Responder = std::make_shared<base::reply_slot<permit_result>>();
  const bool Posted = Inbox.post(
      acquire_permit{Request, {Earlier.begin(), Earlier.end()}, Responder});
  if (!Posted)
    return base::fail(base::error_kind::Stopping, "this entry has stopped");
  auto Answer = Responder->wait(TaskLimit);
  if (!Answer)
    return base::fail(base::error_kind::Saturated, "no permit in time");
  return *Answer;
}

void entry_router::finish(const routing::permit &Permit,
                          const routing::attempt &Outcome,
                          const routing::request_profile &Request) {
  Inbox.post(finish_permit{Permit, Outcome, Request});
}

} // namespace fulmar::entry
