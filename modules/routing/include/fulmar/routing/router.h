// Decides for every service of an entry which target gets which request, and
// when. A state machine: time comes with each event, randomness from the seed,
// and the answers are returned as values.

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

/// The request waits; exactly one ticket_result with this ticket follows,
/// unless the ticket is cancelled.
struct queued {
  ticket_id Ticket = 0;

  friend auto operator<=>(const queued &, const queued &) = default;
};

/// The end of a wait.
struct ticket_result {
  ticket_id Ticket = 0;
  std::variant<permit, base::error_kind> Answer;

  friend auto operator<=>(const ticket_result &,
                          const ticket_result &) = default;
};

struct acquire_result {
  std::variant<permit, queued, base::error_kind> Answer;
  /// Earlier waiters that are answered because of this request.
  std::vector<ticket_result> OtherResults;

  friend auto operator<=>(const acquire_result &,
                          const acquire_result &) = default;
};

/// Requests of this instance at one process of a target.
struct target_in_flight {
  base::target_id Target;
  std::string Incarnation;
  std::uint32_t InFlight = 0;

  friend auto operator<=>(const target_in_flight &,
                          const target_in_flight &) = default;
};

enum class observation_kind : std::uint8_t {
  /// A connection was reset or could not be made.
  Reset,
  /// The target refused a request within its limit.
  Shed,
  /// Service time rose suddenly.
  ServiceTimeJump,
  /// An answer carried another incarnation than the candidate.
  IncarnationChanged,
};

/// A sign that the target may have turned cold; for its leaseholder.
struct observation {
  base::target_id Target;
  /// Incarnation that the permit was given for.
  std::string Incarnation;
  observation_kind Kind = observation_kind::Reset;
  /// The incarnation in the answer; only with IncarnationChanged.
  std::string SeenIncarnation;

  friend auto operator<=>(const observation &, const observation &) = default;
};

/// A target as this instance judges it; for metrics and logs.
struct target_health_report {
  base::target_id Target;
  target_health_state State = target_health_state::Active;
  /// 0 while ejected, small in probation, 1 when healthy.
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
  /// Refuses the service's waiters with UnknownService. Its requests in flight
  /// are counted until they end.
  std::vector<ticket_result> removeService(const base::service_name &Service);

  /// All targets of \p Service that may be used now.
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

  /// A connection to the target was refused, apart from any permit: a check
  /// after a broken attempt. May confirm that a request crashed it.
  std::vector<ticket_result> targetUnreachable(const base::target_id &Target,
                                               base::instant Now);

  /// The waiting caller has gone; its ticket gets no answer.
  void cancel(const base::service_name &Service, ticket_id Ticket);

  /// A published quarantine. Waiting requests with this fingerprint are
  /// refused.
  std::vector<ticket_result> quarantinePublished(
      std::uint64_t Fingerprint, std::chrono::system_clock::time_point Until,
      std::chrono::system_clock::time_point WallNow, base::instant Now);
  void quarantineRemoved(std::uint64_t Fingerprint);

  /// Expires waiters and ejections. To be called every few milliseconds while
  /// requests wait, and every 100 ms otherwise.
  std::vector<ticket_result> tick(base::instant Now);

  /// Requests in flight and waiting: what shares are asked for.
  [[nodiscard]] std::uint32_t demand(const base::service_name &Service) const;
  [[nodiscard]] std::vector<target_in_flight>
  inFlight(const base::service_name &Service) const;
  [[nodiscard]] std::vector<target_health_report>
  targets(const base::service_name &Service) const;
  [[nodiscard]] std::size_t waiting() const;
  /// Returns and forgets what was observed since the last call.
  std::vector<observation> takeObservations();
  /// Returns and forgets the crashes confirmed since the last call, to be
  /// reported to the control instances.
  std::vector<crash_report> takeCrashReports();

private:
  service_router *find(const base::service_name &Service) const;
  /// These two refuse waiting requests that have become quarantined.
  std::vector<ticket_result> recordCrashEvidence(const permit &Permit,
                                                 const attempt &Outcome,
                                                 std::uint64_t Fingerprint,
                                                 base::instant Now);
  std::vector<ticket_result>
  refuseWaiters(const std::vector<std::uint64_t> &Fingerprints);

  base::random_source Random;
  std::map<base::service_name, std::unique_ptr<service_router>> Services;
  /// Permits and tickets share the numbers, over all services.
  std::uint64_t LastId = 0;
  crash_watch Crashes;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_ROUTER_H
