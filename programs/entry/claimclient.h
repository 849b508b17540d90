// Makes and settles idempotency claims at the control leader.

#ifndef FULMAR_PROGRAMS_ENTRY_CLAIMCLIENT_H
#define FULMAR_PROGRAMS_ENTRY_CLAIMCLIENT_H

#include "controlcaller.h"

#include "fulmar/claims/iclaimstore.h"

namespace fulmar::entry {

class claim_client final : public claims::iclaim_store {
public:
  explicit claim_client(control_caller &ControlCaller)
      : Caller(ControlCaller) {}

  base::result<claims::claim_result>
  claim(const claims::claim_request &Request) override;
  base::result<void>
  settle(const claims::claim_request &Request, claims::claim_end End,
         const std::optional<claims::recorded_answer> &Answer) override;

private:
  control_caller &Caller;
};

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_CLAIMCLIENT_H
