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
  base::duration MaxListAge = std::chrono::milliseconds(100);
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

  /// The next request to \p Owner.
  share_request nextRequest(const base::instance_id &Owner,
                            const router_counters &Counters, base::instant Now);
  /// An answer of \p Owner. Answers to older requests are ignored. True when
  /// it took back some permission: another request at once tells the owner
  /// that this is in force, so that others can have it.
  bool onAnswer(const base::instance_id &Owner, const share_answer &Answer,
                base::instant Now);

  /// Targets of \p Service that may be given new work now.
  [[nodiscard]] std::vector<routing::candidate>
  candidates(const base::service_name &Service, base::instant Now) const;

  /// An answer of a target carried \p Seen instead of \p Believed.
  void reportIncarnation(const base::target_id &Target,
                         const std::string &BelievedIncarnation,
                         const std::string &SeenIncarnation, base::instant Now);
  /// A target broke a connection, became slow suddenly or shed requests within
  /// its share. Removes the permission until the owner grants again.
  void reportAnomaly(const base::target_id &Target,
                     const std::string &Incarnation, observation_kind Kind,
                     base::instant Now);

  /// Live entries, each of which may own targets: ask each about every quarter
  /// of a grant's validity.
  [[nodiscard]] std::vector<base::instance_id> owners() const;

private:
  struct held_grant {
    grant Grant;
    base::instance_id Owner;
    base::instant SentAt{};
  };
  /// A sign that the owner has not been told of in time for answers to
  /// requests sent until ObservedAt.
  struct anomaly {
    std::string Incarnation;
    base::instant ObservedAt{};
  };
  /// Where a target's requests in flight have to be reported.
  struct target_source {
    base::instance_id Owner;
    base::data_centre_name DataCentre;
    base::instant UsedAt{};
  };
  struct unsent_observation {
    observation Observation;
    /// The first request that carried it; 0 before.
    std::uint64_t Sequence = 0;
  };
  struct owner_state {
    std::uint64_t Sequence = 0;
    std::uint64_t Applied = 0;
    /// Requests whose answers may still grant something.
    std::map<std::uint64_t, base::instant> SentAt;
    std::vector<unsent_observation> Observations;
  };

  void recordObservation(observation Observation, base::instant Now);
  void storeGrant(const base::instance_id &Owner, const grant &Grant,
                  base::instant SentAt, base::instant Now);
  [[nodiscard]] bool isReportedTo(const base::instance_id &Owner,
                                  const base::target_id &Target) const;
  [[nodiscard]] bool reducesGrants(const base::instance_id &Owner,
                                   const share_answer &Answer) const;
  void eraseExpired(base::instant Now);

  share_view_options Options;
  const ownership &Ownership;
  const freshness &Freshness;
  std::map<base::instance_id, owner_state> Owners;
  std::map<base::target_id, held_grant> Grants;
  std::map<base::target_id, anomaly> Anomalies;
  std::map<base::target_id, target_source> Sources;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_SHAREVIEW_H
