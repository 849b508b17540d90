// The control leader's view of instance leases: who has reported of late, and
// what each has in force. It lives in the leader's memory alone; only joining
// and expiry become commands of the replicated log.

#ifndef FULMAR_LEASES_LEASETABLE_H
#define FULMAR_LEASES_LEASETABLE_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/time.h"
#include "fulmar/publication/publisheditems.h"

#include <compare>
#include <cstddef>
#include <map>
#include <vector>

namespace fulmar::leases {

/// How far a serial is in force.
struct confirmation_report {
  std::size_t Confirmed = 0;
  std::vector<base::instance_id> Waiting;
  /// Members whose lease has run out.
  std::size_t Expired = 0;

  friend auto operator<=>(const confirmation_report &,
                          const confirmation_report &) = default;
};

class lease_table {
public:
  explicit lease_table(base::duration LeaseDuration)
      : Duration(LeaseDuration) {}

  /// Starts a term: every member gets a whole lease, because the reports that
  /// the former leader had are not known.
  void startTerm(const std::vector<base::instance_id> &Members,
                 base::instant Now);

  /// Notes a report that was made at \p ReportedAt. Older reports than the
  /// newest one change nothing.
  void renew(const base::instance_id &Instance,
             publication::serial CurrentSerial, base::instant ReportedAt);

  void remove(const base::instance_id &Instance) { Leases.erase(Instance); }

  /// Members whose lease has run out.
  [[nodiscard]] std::vector<base::instance_id> expired(base::instant Now) const;

  /// Which live members have \p Serial in force.
  [[nodiscard]] confirmation_report confirmations(publication::serial Serial,
                                                  base::instant Now) const;

private:
  struct lease {
    base::instant RenewedAt;
    publication::serial CurrentSerial = 0;
  };

  [[nodiscard]] bool isLive(const lease &Lease, base::instant Now) const {
    return Now - Lease.RenewedAt <= Duration;
  }

  base::duration Duration;
  std::map<base::instance_id, lease> Leases;
};

} // namespace fulmar::leases

#endif // FULMAR_LEASES_LEASETABLE_H
