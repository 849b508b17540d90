// What the sessions and exchanges of one gateway share.

#ifndef FULMAR_GATEWAY_INTERNAL_GATEWAYSTATE_H
#define FULMAR_GATEWAY_INTERNAL_GATEWAYSTATE_H

#include "fulmar/fleet/routetable.h"
#include "fulmar/gateway/gateway.h"
#include "fulmar/placement/probebudget.h"
#include "fulmar/placement/recenttimes.h"
#include "fulmar/placement/serviceplacement.h"
#include "fulmar/placement/windowbudget.h"
#include "fulmar/routing/crashwatch.h"
#include "internal/connectionpool.h"
#include "internal/suspectchecker.h"
#include "internal/targetbackpressure.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace fulmar::gateway {

class caller_session;
class exchange;

/// Order of requests that wait for a target with room.
struct waiter_key {
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Until when an answer is worth most.
  base::instant Objective{};
  /// Tells equal ones apart.
  const void *Request = nullptr;

  friend auto operator<=>(const waiter_key &, const waiter_key &) = default;
};

/// Requests of one service that wait for a target with room. A slot that is
/// given back goes to the most urgent one first.
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
  /// Somebody waits who goes before \p Key.
  [[nodiscard]] bool anyBefore(const waiter_key &Key) const {
    return !Waiters.empty() && Waiters.begin()->first < Key;
  }
  /// Takes the first out; null when nobody waits.
  std::shared_ptr<exchange> popFirst();

private:
  std::map<waiter_key, std::weak_ptr<exchange>> Waiters;
};

/// One service as the gateway sees it.
struct service_state {
  service_state(fleet::service Described, placement::placement_options Options,
                placement::cold_limiter &ColdLimiter,
                const placement::window_budget_options &Budget)
      : Service(std::move(Described)),
        Placement(std::move(Options), ColdLimiter), Retries(Budget) {}

  fleet::service Service;
  placement::service_placement Placement;
  placement::window_budget Retries;
  waiter_queue Waiters;
};

using service_ptr = std::shared_ptr<service_state>;

/// How requests of one route are divided over its services.
class traffic_splitter {
public:
  explicit traffic_splitter(double First) : Position(First) {}

  /// The next request's service; even over any few requests.
  const std::string &next(const fleet::route &Route);

private:
  /// In [0, 1).
  double Position;
};

struct gateway_state {
  gateway_state(eventloop::loop &OwningLoop, gateway_options InitialOptions,
                telemetry::metrics &Registry);

  [[nodiscard]] service_ptr serviceOf(const std::string &Name) const;
  /// The control instances or this one have found that the request crashes
  /// targets.
  [[nodiscard]] bool isQuarantined(std::uint64_t Fingerprint) const;
  /// A target gave the request a whole answer.
  void noteSurvived(std::uint64_t Fingerprint);
  /// Takes the published quarantine over, and objects where this instance has
  /// seen the request answered.
  void setQuarantined(const std::set<std::string> &Published);
  /// Takes from any answer of a target what it says of itself: that it leaves,
  /// or wants nothing for a while.
  void applyBackpressure(const std::string &ConnectionKey, unsigned Status,
                         const http::fields &Fields);

  eventloop::loop &Loop;
  gateway_options Options;
  telemetry::metrics &Metrics;
  base::random_source Random;
  /// Bodies of requests and answers.
  std::shared_ptr<buffer_budget> Buffers;
  connection_pool Pool;
  placement::cold_limiter ColdLimiter;
  placement::probe_budget ProbeBudget;
  fleet::route_table Routes;
  std::map<std::string, service_ptr> Services;
  /// By route name.
  std::map<std::string, traffic_splitter> TrafficSplitters;
  /// By route name.
  std::map<std::string, placement::route_times> Times;
  std::set<std::string> Quarantined;
  routing::crash_watch CrashWatch;
  suspect_checker SuspectChecker;
  std::unique_ptr<tcp::acceptor> Acceptor;
  std::set<std::shared_ptr<caller_session>> Sessions;
  /// Requests that are being served.
  std::size_t RunningRequests = 0;
  bool Stopping = false;
  std::function<void()> OnStopped;
  eventloop::timer SweepTimer;
  eventloop::timer EvaluateTimer;
  eventloop::timer StopTimer;
  eventloop::timer AcceptRetryTimer;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_GATEWAYSTATE_H
