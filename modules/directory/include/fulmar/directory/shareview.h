// The entry's side: asks owners for shares, holds their grants and turns them
// into candidates for the router.

#ifndef FULMAR_DIRECTORY_SHAREVIEW_H
#define FULMAR_DIRECTORY_SHAREVIEW_H

#include "fulmar/directory/freshness.h"
#include "fulmar/directory/ownership.h"
#include "fulmar/directory/sharetypes.h"
#include "fulmar/routing/routingtypes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::directory {

struct share_view_options {
  base::instance_id Self;
  /// Incarnation of this process.
  std::string Incarnation;
  permission_policy Permission;
  /// Candidates disappear this long before their grant ends, which allows the
  /// router to work on a list of this age.
  base::duration ListAge = std::chrono::milliseconds(100);
};

/// The router's counters, taken when a request is built. They must not be
/// older than the router's use of the last list of candidates.
struct router_counters {
  std::vector<service_demand> Demands;
  std::vector<target_in_flight> InFlight;
};

/// Owned by one task: not thread-safe.
class share_view {
public:
  /// \p Views and \p Proofs outlive the share view.
  share_view(share_view_options Given, const ownership &Views,
             const freshness &Proofs);

  /// The next request to \p Owner. Every live entry may own targets, so that
  /// each is asked about every quarter of the grant's validity.
  share_request nextRequest(const base::instance_id &Owner,
                            const router_counters &Counters, base::instant Now);
  /// An answer of \p Owner. Answers to older requests are ignored.
  void onAnswer(const base::instance_id &Owner, const share_answer &Answer,
                base::instant Now);

  /// Targets of \p Service that may be given new work now.
  [[nodiscard]] std::vector<routing::candidate>
  candidates(const base::service_name &Service, base::instant Now) const;

  /// An answer of a target carried \p Seen instead of \p Believed.
  void noteIncarnation(const base::target_id &Target,
                       const std::string &Believed, const std::string &Seen);
  /// A target broke a connection, became slow suddenly or shed requests within
  /// its share. Removes the permission until the owner grants again.
  void noteSign(const base::target_id &Target, const std::string &Incarnation,
                observation_kind Kind);

private:
  /// A grant and its end.
  struct held_grant {
    grant Grant;
    base::instant Until{};
    base::instant ReportedAt{};
    /// Answers to requests up to this one can't restore the permission: the
    /// owner did not know of the sign yet.
    std::uint64_t BlockedUntil = 0;
  };
  struct owner_state {
    std::uint64_t Sequence = 0;
    std::uint64_t Applied = 0;
    std::map<std::uint64_t, base::instant> SentAt;
    std::vector<observation> Unsent;
  };

  void revoke(const base::target_id &Target, const observation &Observation);
  [[nodiscard]] bool concerns(const base::instance_id &Owner,
                              const base::target_id &Target) const;

  share_view_options Options;
  const ownership &Ownership;
  const freshness &Freshness;
  std::map<base::instance_id, owner_state> Owners;
  std::map<base::target_id, held_grant> Grants;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_SHAREVIEW_H
