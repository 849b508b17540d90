// The owner's side: records of all targets that were announced to this
// instance. For those that it may act for, it grants shares and pays probes
// from the service's budget.

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

/// What subscribers and status pages see of a target.
struct target_status {
  announcement Announced;
  /// Requests in flight that it may be given now, by all entries together.
  std::uint32_t Capacity = 0;
  /// Requests in flight that entries may have now.
  std::uint32_t Committed = 0;
  /// Signs of a silent turn wait for the target's next announcement.
  bool Suspected = false;
  bool Expired = false;

  friend auto operator<=>(const target_status &,
                          const target_status &) = default;
};

struct target_owner_options {
  permission_policy Permission;
  /// Added to a grant's validity by the owner, for clock rates that differ.
  base::duration GrantMargin = std::chrono::milliseconds(100);
  /// Time after which an expired target is erased.
  base::duration ExpiredRetention = std::chrono::seconds(30);
};

/// Owned by one task: not thread-safe.
class target_owner {
public:
  /// \p Views and \p Proofs outlive the owner.
  target_owner(const target_owner_options &Given, const ownership &Views,
               const freshness &Proofs);
  ~target_owner();
  target_owner(const target_owner &) = delete;
  target_owner &operator=(const target_owner &) = delete;

  /// Services without a policy of their own have the defaults.
  void setPolicy(const base::service_name &Service,
                 const service_policy &Policy);
  /// To be called with every new view.
  void setOutOfService(const std::set<base::data_centre_name> &DataCentres,
                       base::instant Now);

  void onAnnouncement(const announcement &Announcement, base::instant Now);
  /// Fails with Conflict for a request that is not newer than the last.
  base::result<share_answer> onShareRequest(const share_request &Request,
                                            base::instant Now);

  /// Pays \p Cost of target time from the target's probe budget. The probe may
  /// be sent at once if the answer is true, and not at all otherwise.
  bool takeProbe(const base::target_id &Target, base::duration Cost,
                 base::instant Now);
  /// A probe's answer: load, and the incarnation that answered.
  void onProbeAnswer(const base::target_id &Target,
                     const std::string &Incarnation, double Load,
                     base::instant Now);

  /// Notices expired announcements and erases what is not needed any more.
  /// Call it about every 100 ms.
  void tick(base::instant Now);

  /// Targets that this instance may act for now.
  [[nodiscard]] std::vector<base::target_id>
  actingTargets(base::instant Now) const;
  [[nodiscard]] std::vector<target_status> status(base::instant Now) const;

  /// Tells of changes of state, suspicion and expiry.
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
  /// By entry and incarnation.
  std::map<std::string, entry_state> Entries;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_TARGETOWNER_H
