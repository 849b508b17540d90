// The data plane of an entry, running on one event loop: accepts callers'
// connections, pools connections to targets, and places each request on a
// target.

#ifndef FULMAR_GATEWAY_GATEWAY_H
#define FULMAR_GATEWAY_GATEWAY_H

#include "fulmar/accounts/access.h"
#include "fulmar/eventloop/loop.h"
#include "fulmar/gateway/fleetfeed.h"
#include "fulmar/gateway/headernames.h"
#include "fulmar/placement/windowedretrybudget.h"
#include "fulmar/telemetry/metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace fulmar::gateway {

struct gateway_options {
  /// IP:PORT for callers.
  std::string ListenAddress;
  /// IP:PORT for other entries; empty if they can't pass requests on to this
  /// one.
  std::string RelayListenAddress;
  /// IP address from which connections to targets and other entries are
  /// opened; empty if the system chooses it.
  std::string SourceAddress;
  header_names HeaderNames;
  std::string InstanceId;
  std::string DataCentre;
  /// Empty if the instances are not grouped in regions.
  std::string Region;
  placement::windowed_retry_budget_options RetryBudget;
  /// Probes per second that one target may get from all entries together.
  double ProbesPerTargetPerSecond = 60;
  /// Limit in bytes for the request and response bodies held in memory, over
  /// all connections.
  std::size_t MaxBufferedBytes = std::size_t(64) << 20;
  /// Time from the stop request to the end of the process.
  base::duration GracePeriod = std::chrono::seconds(6);
  accounts::access_options Access;
  /// Time for which a token of a quota may be used.
  base::duration TokenLifetime = std::chrono::milliseconds(500);
  /// Whether the instance that grants tokens is known, and the sending of a
  /// request to it. Without them, no account has a quota.
  std::function<bool()> HolderKnown;
  std::function<void(const fleetlink::allotment_request &)> AskForTokens;
  /// Called for each target that a request has crashed.
  std::function<void(const controlstate::crash_command &)> OnCrash;
  /// Called for each response to a quarantined request.
  std::function<void(const std::string &Fingerprint, base::instant AnsweredAt)>
      OnQuarantinedRequestAnswered;
};

struct gateway_state;

class gateway {
public:
  gateway(eventloop::loop &OwningLoop, gateway_options InitialOptions,
          telemetry::metrics &Registry);
  ~gateway();
  gateway(const gateway &) = delete;
  gateway &operator=(const gateway &) = delete;

  base::result<void> start();
  /// Replaces the view of the fleet by a newer one.
  void apply(const fleet_view &View);
  /// The view lacks nothing that was acknowledged before \p ProvedAt.
  void recordProof(base::instant ProvedAt);
  void recordTokens(const fleetlink::allotment_reply &Reply);
  /// Another instance grants tokens from now on.
  void recordHolderChange();
  /// True once callers can be served.
  [[nodiscard]] bool ready() const;
  /// Finishes the running requests, stops accepting connections after part of
  /// the grace period, and calls \p Done when no request and no connection is
  /// left or the grace period ends.
  void stop(std::function<void()> Done);

private:
  std::unique_ptr<gateway_state> State;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_GATEWAY_H
