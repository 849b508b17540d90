// The owner's side of share.sync: keeps a record of every target that was
// announced to this instance. For the targets for which the instance may act as
// owner, it grants shares and accounts for probes against the service's budget.

#ifndef FULMAR_DIRECTORY_TARGETOWNER_H
#define FULMAR_DIRECTORY_TARGETOWNER_H

#include "fulmar/base/notifier.h"
#include "fulmar/directory/freshness.h"
#include "fulmar/directory/ownership.h"
#include "fulmar/directory/sharetypes.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmar::directory {

class target_record;

/// State of a target as shown to subscribers and on status pages.
struct target_status {
  announcement Announced;
  /// Limit on the target's requests in flight, over all entries.
  std::uint32_t Capacity = 0;
  /// Requests that entries may currently have in flight.
  std::uint32_t Committed = 0;
  /// An anomaly was observed, and the target has not announced itself since.
  bool Suspected = false;
  bool Expired = false;

  friend auto operator<=>(const target_status &,
                          const target_status &) = default;
};

struct target_owner_options {
  permission_policy Permission;
  /// Added by the owner to the validity of a grant, to allow for different
  /// clock rates.
  base::duration GrantMargin = std::chrono::milliseconds(100);
  /// An expired target is erased after this time.
  base::duration ExpiredRetention = std::chrono::seconds(30);
};

/// Not thread-safe; used by one task only.
class target_owner {
public:
  /// \p Views and \p Proofs must outlive the owner.
  target_owner(const target_owner_options &Given, const ownership &Views,
               const freshness &Proofs);
  ~target_owner();
  target_owner(const target_owner &) = delete;
  target_owner &operator=(const target_owner &) = delete;

  /// Sets the policy of a service; services without one use the defaults.
  void setPolicy(const base::service_name &Service,
                 const service_policy &Policy);
  /// Must be called with every new view.
  void setOutOfService(const std::set<base::data_centre_name> &DataCentres,
                       base::instant Now);

  void onAnnouncement(const announcement &Announcement, base::instant Now);
  /// Fails with Conflict if the request is not newer than the previous one.
  base::result<share_answer> onShareRequest(const share_request &Request,
                                            base::instant Now);

  /// Consumes \p Cost of processing time from the target's probe budget.
  /// Returns true if the probe may be sent now; otherwise it must not be sent.
  bool takeProbe(const base::target_id &Target, base::duration Cost,
                 base::instant Now);
  /// Records the answer to a probe: the load, and the incarnation that
  /// answered.
  void onProbeAnswer(const base::target_id &Target,
                     const std::string &Incarnation, double Load,
                     base::instant Now);

  /// Detects expired announcements and erases records that are no longer
  /// needed. Should be called about every 100 ms.
  void tick(base::instant Now);

  /// Returns the targets for which this instance may act as owner now.
  [[nodiscard]] std::vector<base::target_id>
  actingTargets(base::instant Now) const;
  [[nodiscard]] std::vector<target_status> status(base::instant Now) const;

  /// Notifies of changes of state, suspicion and expiry.
  base::notifier<target_status> Changed;

private:
  struct entry_state {
    std::uint64_t Sequence = 0;
    base::instant HeardAt{};
  };
  using record_map = std::map<base::target_id, std::unique_ptr<target_record>>;

  [[nodiscard]] const service_policy &
  policyOf(const target_record &Record) const;
  [[nodiscard]] bool mayAct(const target_record &Record,
                            base::instant Now) const;
  bool sampleActing(target_record &Record, base::instant Now);
  void applyObservations(const share_request &Request, base::instant Now);
  void notifyWhenChanged(target_record &Record, base::instant Now);

  target_owner_options Options;
  const ownership &Ownership;
  const freshness &Freshness;
  std::map<base::service_name, service_policy> Policies;
  std::set<base::data_centre_name> OutOfService;
  record_map Records;
  /// Keyed by "entry/incarnation".
  std::map<std::string, entry_state> Entries;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_TARGETOWNER_H
