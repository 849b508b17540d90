// The proxy's view of the entry's task: asks it for permits and tells it how
// attempts ended.

#ifndef FULMAR_PROGRAMS_ENTRY_ENTRYROUTER_H
#define FULMAR_PROGRAMS_ENTRY_ENTRYROUTER_H

#include "entrymessages.h"

#include "fulmar/routing/irouter.h"

namespace fulmar::entry {

class entry_router final : public routing::irouter {
public:
  explicit entry_router(base::mailbox<task_message> &TaskInbox)
      : Inbox(TaskInbox) {}

  base::result<routing::permit>
  acquire(const routing::request_profile &Request,
          std::span<const routing::attempt> Earlier) override;
  void finish(const routing::permit &Permit, const routing::attempt &Outcome,
              const routing::request_profile &Request) override;

private:
  base::mailbox<task_message> &Inbox;
};

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_ENTRYROUTER_H
