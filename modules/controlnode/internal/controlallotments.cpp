// The control instance that leads grants the tokens of accounts' quotas.

#include "fulmar/controlnode/controlnode.h"

#include "fulmar/fleet/account.h"
#include "fulmar/telemetry/log.h"

namespace fulmar::controlnode {

namespace {

/// With an older quorum proof another instance may lead by now: followers elect
/// one after 300 ms without a leader.
constexpr base::duration MaxHolderProofAge = std::chrono::milliseconds(300);

} // namespace

bool control_node::holdsAllotments() const {
  const auto Age = Log->proofAge(Loop.now());
  return IsLeader && Age && *Age <= MaxHolderProofAge;
}

void control_node::updateAllotments() {
  const publication::item *Item =
      State.published().find(publication::AccountsKey);
  if (Item == nullptr || Item->Serial == AllotmentsSerial)
    return;
  AllotmentsSerial = Item->Serial;
  std::map<std::string, allotment::limit> Limits;
  const auto Accounts = fleet::decodeAccounts(Item->Value);
  if (!Accounts)
    telemetry::logChange(telemetry::log_level::Error, "control",
                         "accounts-malformed",
                         {{"error", Accounts.error().Message}});
  else
    for (const fleet::account &Account : Accounts.value().Accounts) {
      if (Account.hasQuota())
        Limits[Account.Name] = allotment::quotaLimit(
            Account.RequestsPerSecond, Account.Burst, Options.Quotas);
    }
  Allotments.setLimits(Limits, Loop.now());
  telemetry::logChange(telemetry::log_level::Info, "control", "quotas-in-force",
                       {{"accounts", std::to_string(Limits.size())},
                        {"serial", std::to_string(Item->Serial)}});
}

void control_node::handle(const link_ptr &Link,
                          const fleetlink::allotment_request &Request) {
  fleetlink::allotment_reply Reply{.Id = Request.Id,
                                   .Holder = holdsAllotments()};
  if (Reply.Holder) {
    updateAllotments();
    for (const fleetlink::allotment_demand &Demand : Request.Demands) {
      Reply.Grants.push_back(Allotments.take(Demand, Loop.now()));
      const fleetlink::allotment_grant &Grant = Reply.Grants.back();
      Metrics.counterOf("fulmar_quota_tokens_total", "outcome=\"granted\"")
          .add(Grant.Granted);
      if (Grant.Granted < Demand.Count)
        Metrics
            .counterOf("fulmar_quota_tokens_total", Grant.Starting
                                                        ? "outcome=\"starting\""
                                                        : "outcome=\"refused\"")
            .add(Demand.Count - Grant.Granted);
    }
  }
  Link->send(fleetlink::encodeLinkMessage(Reply));
}

} // namespace fulmar::controlnode
