// Implementation of the lease table.

#include "fulmar/leases/leasetable.h"

#include <algorithm>

namespace fulmar::leases {

void lease_table::startTerm(const std::vector<base::instance_id> &Members,
                            base::instant Now) {
  Leases.clear();
  for (const base::instance_id &Member : Members)
    Leases[Member] = {.RenewedAt = Now};
}

void lease_table::renew(const base::instance_id &Instance,
                        publication::serial CurrentSerial,
                        base::instant ReportedAt) {
  const auto [Entry, Added] =
      Leases.try_emplace(Instance, lease{ReportedAt, CurrentSerial});
  lease &Lease = Entry->second;
  if (Added || ReportedAt < Lease.RenewedAt)
    return;
  Lease = {.RenewedAt = ReportedAt, .CurrentSerial = CurrentSerial};
}

std::vector<base::instance_id> lease_table::expired(base::instant Now) const {
  std::vector<base::instance_id> Expired;
  for (const auto &[Instance, Lease] : Leases) {
    if (!isLive(Lease, Now))
      Expired.push_back(Instance);
  }
  return Expired;
}

confirmation_report lease_table::confirmations(publication::serial Serial,
                                               base::instant Now) const {
  confirmation_report Report;
  for (const auto &[Instance, Lease] : Leases) {
    if (!isLive(Lease, Now))
      ++Report.Expired;
    else if (Lease.CurrentSerial >= Serial)
      ++Report.Confirmed;
    else
      Report.Waiting.push_back(Instance);
  }
  return Report;
}

} // namespace fulmar::leases
