// The entry's side of share.sync: requests shares from the owners, stores the
// grants, and provides them as candidates to the router.

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
  /// Candidates are withdrawn this long before their grant expires, so that the
  /// router may use a list of candidates for this time.
  base::duration MaxListAge = std::chrono::milliseconds(100);
};

/// Counters of the router, taken when a request is built. They must be taken
/// after the router has applied the last list of candidates.
struct router_counters {
  std::vector<service_demand> Demands;
  std::vector<target_in_flight> InFlight;
};

/// Not thread-safe; used by one task only.
class share_view {
public:
  /// \p Views and \p Proofs must outlive the share view.
  share_view(share_view_options Given, const ownership &Views,
             const freshness &Proofs);

  /// Builds the next request to \p Owner.
  share_request nextRequest(const base::instance_id &Owner,
                            const router_counters &Counters, base::instant Now);
  /// Applies an answer from \p Owner. Answers to older requests are ignored.
  /// Returns true if the answer reduced some grant: another request should then
  /// be sent at once, which confirms the reduction to the owner and lets it
  /// grant the share to others.
  bool onAnswer(const base::instance_id &Owner, const share_answer &Answer,
                base::instant Now);

  /// Returns the targets of \p Service that may receive new requests now.
  [[nodiscard]] std::vector<routing::candidate>
  candidates(const base::service_name &Service, base::instant Now) const;

  /// Records that a response of a target carried \p SeenIncarnation instead of
  /// \p BelievedIncarnation.
  void reportIncarnation(const base::target_id &Target,
                         const std::string &BelievedIncarnation,
                         const std::string &SeenIncarnation, base::instant Now);
  /// Records that a target reset a connection, suddenly became slow, or refused
  /// requests within its share. Removes the grant until the owner renews it.
  void reportAnomaly(const base::target_id &Target,
                     const std::string &Incarnation, observation_kind Kind,
                     base::instant Now);

  /// Returns the live entries. Any of them may own targets, so each should be
  /// asked about four times per validity period of a grant.
  [[nodiscard]] std::vector<base::instance_id> owners() const;

private:
  struct held_grant {
    grant Grant;
    base::instance_id Owner;
    base::instant SentAt{};
  };
  /// An anomaly that the owner did not know of when it answered requests sent
  /// up to ObservedAt.
  struct anomaly {
    std::string Incarnation;
    base::instant ObservedAt{};
  };
  /// The owner to which the requests in flight at a target must be reported.
  struct target_source {
    base::instance_id Owner;
    base::data_centre_name DataCentre;
    base::instant UsedAt{};
  };
  struct unsent_observation {
    observation Observation;
    /// Sequence of the first request that contained it; 0 if not sent yet.
    std::uint64_t Sequence = 0;
  };
  struct owner_state {
    std::uint64_t Sequence = 0;
    std::uint64_t Applied = 0;
    /// Send times of requests whose answers may still contain grants.
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
