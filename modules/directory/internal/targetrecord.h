// The owner's record of one target: what it announced last, what it bears now
// and who may have requests in flight there.

#ifndef FULMAR_DIRECTORY_INTERNAL_TARGETRECORD_H
#define FULMAR_DIRECTORY_INTERNAL_TARGETRECORD_H

#include "fulmar/directory/sharetypes.h"
#include "fulmar/directory/targetowner.h"

#include "coldramp.h"
#include "probebudget.h"
#include "shareledger.h"
#include "takeover.h"

#include <deque>
#include <optional>
#include <string>

namespace fulmar::directory {

class target_record {
public:
  /// Begins with the target's first announcement.
  target_record(const target_owner_options &Given, const announcement &First,
                base::instant Now);

  /// Late announcements are ignored.
  void onAnnouncement(const announcement &Announcement, base::instant Now);
  void onObservation(const observation &Observation,
                     const service_policy &Policy, base::instant Now);
  void onLoad(const std::string &Incarnation, double Load, base::instant Now);
  /// The target's data centre is taken out of service or returns.
  void setInService(bool Serves, base::instant Now);

  /// Samples whether this instance acts as the target's owner.
  void sampleActing(bool Acting, const service_policy &Policy,
                    base::instant Now);

  /// Requests in flight that the target bears now.
  [[nodiscard]] std::uint32_t capacity(const service_policy &Policy,
                                       base::instant Now) const;
  /// Capacity less what runs there without being reported.
  [[nodiscard]] std::uint32_t grantable(const service_policy &Policy,
                                        base::instant Now) const;
  [[nodiscard]] bool expired(base::instant Now) const;
  [[nodiscard]] const announcement &announced() const { return Last; }
  [[nodiscard]] base::instant heardAt() const { return HeardAt; }
  [[nodiscard]] target_status status(const service_policy &Policy,
                                     base::instant Now) const;

  /// False for an incarnation that is known to have had another address: its
  /// requests in flight are not at this target.
  [[nodiscard]] bool mayRunHere(const std::string &Incarnation) const;
  [[nodiscard]] grant grantOf(std::uint32_t Granted, base::instant Now) const;

  share_ledger Ledger;
  probe_budget Probes;
  /// As told to subscribers last.
  target_status LastNotified;

private:
  struct former_incarnation {
    std::string Incarnation;
    std::string Address;
  };

  [[nodiscard]] bool isLate(const announcement &Announcement,
                            base::instant Now) const;
  [[nodiscard]] bool isFormer(const std::string &Incarnation) const;
  void beginIncarnation(const announcement &Announcement, base::instant Now);
  void continueIncarnation(const announcement &Announcement, base::instant Now);
  void markSuspected(const observation &Observation, base::instant Now);

  target_owner_options Options;
  takeover Takeover;
  /// Absent unless this instance acted at the last sample.
  std::optional<base::instant> ActedAt;
  announcement Last;
  base::instant HeardAt{};
  double Load = 0;
  base::instant LoadAt{};
  cold_ramp Ramp;
  bool InService = true;
  /// A sign of a silent turn has not been followed by an announcement yet.
  bool Suspected = false;
  /// Before this, requests started under earlier grants may still arrive.
  base::instant NoGrantBefore{};
  base::instant ReducedAt{};
  /// Latest last.
  std::deque<former_incarnation> Former;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_TARGETRECORD_H
