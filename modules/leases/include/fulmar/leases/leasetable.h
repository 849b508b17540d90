// Leases of the member instances as tracked by the control leader: when each
// member last reported, and which serial it uses. The table is kept only in the
// leader's memory. Only joins and expiries are written to the replicated log as
// commands.

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

/// Shows how many members use a serial or a later one.
struct confirmation_report {
  std::size_t Confirmed = 0;
  /// Members with a valid lease that still use an earlier serial.
  std::vector<base::instance_id> Waiting;
  /// Number of members whose lease has expired.
  std::size_t Expired = 0;

  friend auto operator<=>(const confirmation_report &,
                          const confirmation_report &) = default;
};

class lease_table {
public:
  explicit lease_table(base::duration LeaseDuration)
      : Duration(LeaseDuration) {}

  /// Starts a term as leader. Every member gets a full lease, because the
  /// reports received by the previous leader are not known.
  void startTerm(const std::vector<base::instance_id> &Members,
                 base::instant Now);

  /// Records a report made at \p ReportedAt. A report that is older than the
  /// latest one is ignored.
  void renew(const base::instance_id &Instance,
             publication::serial CurrentSerial, base::instant ReportedAt);

  void remove(const base::instance_id &Instance) { Leases.erase(Instance); }

  /// Returns the members whose lease has expired.
  [[nodiscard]] std::vector<base::instance_id> expired(base::instant Now) const;

  /// Shows which members with a valid lease use \p Serial or a later one.
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
