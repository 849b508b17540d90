// The owner's record of one target: its last announcement, its current
// capacity, and the requests that entries may have in flight there.

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
  /// Creates the record from the target's first announcement.
  target_record(const target_owner_options &Given, const announcement &First,
                base::instant Now);

  /// Applies an announcement; late ones are ignored.
  void onAnnouncement(const announcement &Announcement, base::instant Now);
  void onObservation(const observation &Observation,
                     const service_policy &Policy, base::instant Now);
  void onLoad(const std::string &Incarnation, double Load, base::instant Now);
  /// Records that the target's data centre was taken out of service or
  /// returned.
  void setInService(bool Serves, base::instant Now);

  /// Records whether this instance acts as the target's owner at \p Now.
  void sampleActing(bool Acting, const service_policy &Policy,
                    base::instant Now);

  /// Returns the number of requests in flight that the target can handle now.
  [[nodiscard]] std::uint32_t capacity(const service_policy &Policy,
                                       base::instant Now) const;
  /// Returns the capacity minus the unreported requests in flight.
  [[nodiscard]] std::uint32_t grantable(const service_policy &Policy,
                                        base::instant Now) const;
  [[nodiscard]] bool expired(base::instant Now) const;
  [[nodiscard]] const announcement &announced() const { return Last; }
  [[nodiscard]] base::instant heardAt() const { return HeardAt; }
  [[nodiscard]] target_status status(const service_policy &Policy,
                                     base::instant Now) const;

  /// Returns false for an incarnation that is known to have had another
  /// address, so that its requests in flight are not at this target.
  [[nodiscard]] bool mayRunHere(const std::string &Incarnation) const;
  [[nodiscard]] grant grantOf(std::uint32_t Granted, base::instant Now) const;

  share_ledger Ledger;
  probe_budget Probes;
  /// The status last sent to subscribers.
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
  /// Time of the last sample if the instance acted as owner then; otherwise
  /// empty.
  std::optional<base::instant> ActedAt;
  announcement Last;
  base::instant HeardAt{};
  double Load = 0;
  base::instant LoadAt{};
  cold_ramp Ramp;
  bool InService = true;
  /// An anomaly was observed, and no announcement has followed yet.
  bool Suspected = false;
  /// No grants before this time: requests started under earlier grants may
  /// still arrive.
  base::instant NoGrantBefore{};
  base::instant ReducedAt{};
  /// Former incarnations, the most recent last.
  std::deque<former_incarnation> Former;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_TARGETRECORD_H
