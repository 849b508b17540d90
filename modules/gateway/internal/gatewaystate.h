// State that the sessions and exchanges of one gateway share.

#ifndef FULMAR_GATEWAY_INTERNAL_GATEWAYSTATE_H
#define FULMAR_GATEWAY_INTERNAL_GATEWAYSTATE_H

#include "fulmar/fleet/routetable.h"
#include "fulmar/gateway/gateway.h"
#include "fulmar/placement/probebudget.h"
#include "fulmar/placement/recenttimes.h"
#include "fulmar/placement/relayselector.h"
#include "fulmar/placement/serviceplacement.h"
#include "fulmar/placement/targetcontact.h"
#include "fulmar/placement/windowedretrybudget.h"
#include "fulmar/routing/crashwatch.h"
#include "internal/connectionpool.h"
#include "internal/contactwatch.h"
#include "internal/quotagate.h"
#include "internal/suspectchecker.h"
#include "internal/targetbackpressure.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmar::gateway {

class caller_session;
class exchange;

/// Sort key of requests that wait for a target with capacity.
struct waiter_key {
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Time by which a response meets the route's objective.
  base::instant Objective{};
  /// Distinguishes requests that are otherwise equal.
  const void *Request = nullptr;

  friend auto operator<=>(const waiter_key &, const waiter_key &) = default;
};

/// Requests of one service that wait for a target with capacity. A released
/// slot goes to the most urgent one.
class waiter_queue {
public:
  void add(const waiter_key &Key, std::weak_ptr<exchange> Waiter) {
    Waiters[Key] = std::move(Waiter);
  }
  void remove(const waiter_key &Key) { Waiters.erase(Key); }
  [[nodiscard]] bool empty() const { return Waiters.empty(); }
  [[nodiscard]] bool isFirst(const waiter_key &Key) const {
    return !Waiters.empty() && Waiters.begin()->first == Key;
  }
  /// True if a request that precedes \p Key is waiting.
  [[nodiscard]] bool anyBefore(const waiter_key &Key) const {
    return !Waiters.empty() && Waiters.begin()->first < Key;
  }
  /// Removes and returns the most urgent request; null if none is waiting.
  std::shared_ptr<exchange> popFirst();

private:
  std::map<waiter_key, std::weak_ptr<exchange>> Waiters;
};

/// One service as the gateway sees it.
struct service_state {
  service_state(fleet::service Described, placement::placement_options Options,
                placement::placement_limiters Limiters,
                const placement::windowed_retry_budget_options &Budget)
      : Service(std::move(Described)), Placement(std::move(Options), Limiters),
        Retries(Budget) {}

  fleet::service Service;
  placement::service_placement Placement;
  placement::windowed_retry_budget Retries;
  placement::target_contact Contact;
  placement::relay_selector Relays;
  waiter_queue Waiters;
};

using service_ptr = std::shared_ptr<service_state>;

/// Divides the requests of one route over its services by weight.
class traffic_splitter {
public:
  explicit traffic_splitter(double First) : Position(First) {}

  /// Returns the service of the next request. The split is even over short
  /// sequences too.
  const std::string &next(const fleet::route &Route);

private:
  /// In [0, 1).
  double Position;
};

/// A service that a plan has dropped. It is kept while requests use it, and for
/// as long as retries that it has spent count against a later plan's.
struct retired_service {
  service_ptr Service;
  base::instant RetriesCountUntil{};
};

struct gateway_state {
  gateway_state(eventloop::loop &OwningLoop, gateway_options InitialOptions,
                telemetry::metrics &Registry);

  /// Replaces the view of the fleet by a newer one.
  void apply(const fleet_view &View);
  [[nodiscard]] service_ptr serviceOf(const std::string &Name) const;
  /// Replaces the services by those of a plan. A service keeps its state, also
  /// if an earlier plan dropped it a short time ago.
  void setServices(const std::vector<fleet::service> &Described);
  /// Forgets retired services that nothing needs any more.
  void dropRetiredServices();
  /// Returns the services of the plan and the retired ones.
  [[nodiscard]] std::vector<service_ptr> knownServices() const;
  /// True if a target of a known service has named a limit.
  [[nodiscard]] bool anyAnnouncedLimit() const;
  /// True if the control instances or this one have found that the request
  /// crashes targets.
  [[nodiscard]] bool isQuarantined(std::uint64_t Fingerprint) const;
  /// Records that a target gave the request a complete response.
  void noteSurvived(std::uint64_t Fingerprint);
  /// Replaces the published quarantine. Objects to fingerprints whose requests
  /// this instance has seen answered.
  void setQuarantined(const std::set<std::string> &Published);
  /// Applies what a target says about further requests in any of its responses:
  /// that it is leaving, that it wants none for a while, or how many it takes.
  void applyBackpressure(const observed_response &Response);

  eventloop::loop &Loop;
  gateway_options Options;
  telemetry::metrics &Metrics;
  base::random_source Random;
  /// Memory of the bodies of requests and responses.
  std::shared_ptr<buffer_budget> Buffers;
  connection_pool Pool;
  /// Connections to other entries.
  connection_pool RelayPool;
  placement::fleet_rate_limiter ColdLimiter;
  placement::fleet_rate_limiter AnnouncedLimiter;
  placement::probe_budget ProbeBudget;
  quota_gate Quotas;
  /// Of the latest view, and in the order in which this entry tries them.
  std::shared_ptr<const std::vector<placement::relay_peer>> Relays;
  std::shared_ptr<const std::vector<placement::relay_peer>> RelayOrder;
  fleet::route_table Routes;
  std::shared_ptr<const fleet::account_set> AccountSet;
  accounts::account_directory Accounts{nullptr};
  /// See gateway::recordProof().
  std::optional<base::instant> ProvedAt;
  std::map<std::string, service_ptr> Services;
  /// By name; none is in Services as well.
  std::map<std::string, retired_service> RetiredServices;
  /// By route name.
  std::map<std::string, traffic_splitter> TrafficSplitters;
  /// By route name.
  std::map<std::string, placement::route_times> Times;
  std::set<std::string> Quarantined;
  routing::crash_watch CrashWatch;
  suspect_checker SuspectChecker;
  contact_watch ContactWatch;
  std::unique_ptr<tcp::acceptor> Acceptor;
  /// For other entries; null if they can't pass requests on to this one.
  std::unique_ptr<tcp::acceptor> RelayAcceptor;
  std::set<std::shared_ptr<caller_session>> Sessions;
  /// Number of requests that are being served.
  std::size_t RunningRequests = 0;
  bool Stopping = false;
  std::function<void()> OnStopped;
  eventloop::timer SweepTimer;
  eventloop::timer EvaluateTimer;
  eventloop::timer StopTimer;
  eventloop::timer AcceptRetryTimer;
  eventloop::timer RelayAcceptRetryTimer;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_GATEWAYSTATE_H
