// Decides for all services of an entry which target gets a request, and when.
// Implemented as a deterministic state machine: the time is passed with each
// event, random numbers depend on the seed, and results are returned as values.

#ifndef FULMAR_ROUTING_ROUTER_H
#define FULMAR_ROUTING_ROUTER_H

#include "fulmar/base/random.h"
#include "fulmar/base/result.h"
#include "fulmar/routing/admissionqueue.h"
#include "fulmar/routing/crashwatch.h"
#include "fulmar/routing/outlierdetector.h"
#include "fulmar/routing/routingpolicy.h"
#include "fulmar/routing/routingtypes.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace fulmar::routing {

/// The request waits in the queue. Exactly one ticket_result with this ticket
/// follows, unless the ticket is cancelled.
struct queued {
  ticket_id Ticket = 0;

  friend auto operator<=>(const queued &, const queued &) = default;
};

/// Result for a queued request.
struct ticket_result {
  ticket_id Ticket = 0;
  std::variant<permit, base::error_kind> Answer;

  friend auto operator<=>(const ticket_result &,
                          const ticket_result &) = default;
};

struct acquire_result {
  std::variant<permit, queued, base::error_kind> Answer;
  /// Results for other queued requests that were settled by this call.
  std::vector<ticket_result> OtherResults;

  friend auto operator<=>(const acquire_result &,
                          const acquire_result &) = default;
};

/// Requests of this instance in flight at one process of a target.
struct target_in_flight {
  base::target_id Target;
  std::string Incarnation;
  std::uint32_t InFlight = 0;

  friend auto operator<=>(const target_in_flight &,
                          const target_in_flight &) = default;
};

enum class observation_kind : std::uint8_t {
  /// A connection was reset or could not be established.
  Reset,
  /// The target refused a request although its limit was not exceeded.
  Shed,
  /// The service time rose suddenly.
  ServiceTimeJump,
  /// A response carried a different incarnation than the candidate.
  IncarnationChanged,
};

/// A sign that the target may have restarted or become cold; reported to its
/// leaseholder.
struct observation {
  base::target_id Target;
  /// Incarnation that the permit was issued for.
  std::string Incarnation;
  observation_kind Kind = observation_kind::Reset;
  /// Incarnation in the response; set only for IncarnationChanged.
  std::string SeenIncarnation;

  friend auto operator<=>(const observation &, const observation &) = default;
};

/// Health of a target as seen by this instance, for metrics and logs.
struct target_health_report {
  base::target_id Target;
  target_health_state State = target_health_state::Active;
  /// See target_health: 0 while ejected, small at the start of a probation, 1
  /// while active.
  double PickProbability = 1;
  /// Service time relative to the median of the service's targets.
  double Slowness = 1;

  friend auto operator<=>(const target_health_report &,
                          const target_health_report &) = default;
};

struct router_options {
  std::uint64_t Seed = 0;
};

class service_router;

class router {
public:
  explicit router(router_options Options);
  ~router();
  router(const router &) = delete;
  router &operator=(const router &) = delete;

  /// Fails with InvalidDocument for an unknown strategy.
  base::result<void> setPolicy(const base::service_name &Service,
                               const routing_policy &Policy);
  /// Refuses the queued requests of the service with UnknownService. Requests
  /// in flight are counted until they end.
  std::vector<ticket_result> removeService(const base::service_name &Service);

  /// Replaces the list of targets that \p Service may use.
  std::vector<ticket_result>
  candidatesChanged(const base::service_name &Service,
                    const std::vector<candidate> &Candidates,
                    base::instant Now);

  acquire_result acquire(const request_profile &Request,
                         std::span<const attempt> Earlier, base::instant Now);

  /// Unknown permits are ignored.
  std::vector<ticket_result> finish(const permit &Permit,
                                    const attempt &Outcome,
                                    const request_profile &Request,
                                    base::instant Now);

  /// The target refused a connection that belongs to no permit, such as a probe
  /// after a broken attempt. May confirm that a request crashed the target.
  std::vector<ticket_result> targetUnreachable(const base::target_id &Target,
                                               base::instant Now);

  /// Removes a queued request whose caller has gone. No result follows for its
  /// ticket.
  void cancel(const base::service_name &Service, ticket_id Ticket);

  /// Adds a published quarantine and refuses the queued requests with this
  /// fingerprint.
  std::vector<ticket_result> quarantinePublished(
      std::uint64_t Fingerprint, std::chrono::system_clock::time_point Until,
      std::chrono::system_clock::time_point WallNow, base::instant Now);
  void quarantineRemoved(std::uint64_t Fingerprint);

  /// Expires queued requests and ejections. Must be called every few
  /// milliseconds while requests are queued and every 100 ms otherwise.
  std::vector<ticket_result> tick(base::instant Now);

  /// Number of requests in flight and queued, for which shares of the targets'
  /// limits are requested.
  [[nodiscard]] std::uint32_t demand(const base::service_name &Service) const;
  [[nodiscard]] std::vector<target_in_flight>
  inFlight(const base::service_name &Service) const;
  [[nodiscard]] std::vector<target_health_report>
  targets(const base::service_name &Service) const;
  [[nodiscard]] std::size_t waiting() const;
  /// Returns the observations since the last call.
  std::vector<observation> takeObservations();
  /// Returns the crashes confirmed since the last call, to be reported to the
  /// control instances.
  std::vector<crash_report> takeCrashReports();

private:
  service_router *find(const base::service_name &Service) const;
  /// Updates the crash evidence with the outcome of an attempt and refuses the
  /// queued requests that are quarantined as a result.
  std::vector<ticket_result> recordCrashEvidence(const permit &Permit,
                                                 const attempt &Outcome,
                                                 std::uint64_t Fingerprint,
                                                 base::instant Now);
  /// Refuses the queued requests with these fingerprints as quarantined.
  std::vector<ticket_result>
  refuseWaiters(const std::vector<std::uint64_t> &Fingerprints);

  base::random_source Random;
  std::map<base::service_name, std::unique_ptr<service_router>> Services;
  /// Last id given to a permit or ticket of any service.
  std::uint64_t LastId = 0;
  crash_watch Crashes;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_ROUTER_H
