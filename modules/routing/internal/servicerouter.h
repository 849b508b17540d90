// Router of one service: holds its targets, queue, retry budget and health
// data.

#ifndef FULMAR_ROUTING_SERVICEROUTER_H
#define FULMAR_ROUTING_SERVICEROUTER_H

#include "fulmar/base/random.h"
#include "fulmar/routing/ipickstrategy.h"
#include "fulmar/routing/outlierdetector.h"
#include "fulmar/routing/retrybudget.h"
#include "fulmar/routing/router.h"
#include "fulmar/routing/servicetimes.h"
#include "internal/targetstate.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace fulmar::routing {

class service_router {
public:
  service_router(base::random_source &Source, std::uint64_t &IdCounter)
      : Random(Source), LastId(IdCounter) {}

  void setPolicy(const routing_policy &Changed,
                 std::unique_ptr<ipick_strategy> Chosen);
  /// Refuses all queued and new requests. Requests in flight are still counted.
  std::vector<ticket_result> remove();
  [[nodiscard]] bool removed() const { return Removed; }
  /// Refuses the queued requests for which \p Matches returns true.
  std::vector<ticket_result>
  refuse(const std::function<bool(const waiter &)> &Matches,
         base::error_kind Kind);
  std::vector<ticket_result>
  candidatesChanged(const std::vector<candidate> &Candidates,
                    base::instant Now);
  acquire_result acquire(const request_profile &Request,
                         std::span<const attempt> Earlier, base::instant Now);
  std::vector<ticket_result> finish(const permit &Permit,
                                    const attempt &Outcome, base::instant Now);
  void cancel(ticket_id Ticket) { Queue.remove(Ticket); }
  std::vector<ticket_result> tick(base::instant Now);

  [[nodiscard]] std::uint32_t demand() const;
  [[nodiscard]] std::vector<target_in_flight> inFlight() const;
  [[nodiscard]] std::vector<target_health_report> targets() const;
  [[nodiscard]] std::size_t waiting() const { return Queue.size(); }
  std::vector<observation> takeObservations();

private:
  struct running_attempt {
    base::target_id Target;
    std::string Incarnation;
    base::instant Started{};
  };

  [[nodiscard]] std::size_t tierOf(const base::data_centre_name &Name) const;
  [[nodiscard]] queue_limits limits() const;
  [[nodiscard]] base::instant expectedStart(const request_profile &Request,
                                            base::instant Now) const;
  [[nodiscard]] base::error_kind waitRefusalKind(base::error_kind Reason) const;
  ticket_result refusalOf(const refused_waiter &Refused) const;

  void mergeCandidates(const std::vector<candidate> &Candidates,
                       base::instant Now);
  void refreshHealths(base::instant Now);
  void evaluate(base::instant Now);

  std::vector<ticket_result> expire(base::instant Now);
  /// Grants permits to queued requests in order while a target has capacity.
  void grantWaiting(std::vector<ticket_result> &Answers, base::instant Now);
  std::optional<permit> tryGrant(const waiter &Waiter, base::instant Now);
  permit grant(target_state &Target, const request_profile &Request,
               base::instant Now);

  /// The nearest tier whose utilisation is below the limit of the policy.
  /// Targets up to this tier may be picked.
  [[nodiscard]] std::size_t farthestTier(base::instant Now) const;
  /// Whether any healthy target has a limit above 0.
  [[nodiscard]] bool anyActive(base::instant Now) const;
  [[nodiscard]] bool anyCapacity(base::instant Now) const;
  /// Whether requests may be sent to the target, now or once a request in
  /// flight has ended.
  [[nodiscard]] bool usable(const target_state &Target,
                            base::instant Now) const;
  void collectViews(const waiter &Waiter, std::size_t MaxTier,
                    base::instant Now);
  /// Whether the target is considered in a pick. Random for targets in
  /// probation.
  bool admittedByHealth(const target_state &Target,
                        const request_profile &Request, base::instant Now);
  [[nodiscard]] target_view viewOf(std::size_t Index, base::instant Now) const;
  void removeTriedViews(std::span<const attempt> Earlier, base::instant Now);

  target_state *findTarget(const base::target_id &Id);
  void recordOutcome(target_state &Target, const running_attempt &Ended,
                     const attempt &Outcome, base::instant Now);
  void recordObservation(const running_attempt &Ended, observation_kind Kind,
                         const std::string &SeenIncarnation = "");

  base::random_source &Random;
  std::uint64_t &LastId;
  routing_policy Policy;
  std::unique_ptr<ipick_strategy> Strategy;
  outlier_detector Detector{{}};
  retry_budget Budget;
  service_times Times;
  admission_queue Queue;
  /// Ordered by id. A target that is no longer listed is kept with a limit of 0
  /// until its requests have ended and the retention time has passed.
  std::vector<target_state> Targets;
  /// Attempts in flight by permit id.
  std::unordered_map<std::uint64_t, running_attempt> Running;
  std::vector<observation> Observations;
  std::vector<target_view> Views;
  base::instant LastEvaluation{};
  bool Removed = false;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_SERVICEROUTER_H
