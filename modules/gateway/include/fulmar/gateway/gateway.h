// The data plane of an entry on one event loop: callers' connections, targets'
// connections, and the placement of each request.

#ifndef FULMAR_GATEWAY_GATEWAY_H
#define FULMAR_GATEWAY_GATEWAY_H

#include "fulmar/eventloop/loop.h"
#include "fulmar/gateway/fleetfeed.h"
#include "fulmar/gateway/headernames.h"
#include "fulmar/placement/windowbudget.h"
#include "fulmar/telemetry/metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace fulmar::gateway {

struct gateway_options {
  /// IP:PORT for callers.
  std::string ListenAddress;
  header_names HeaderNames;
  std::string InstanceId;
  std::string DataCentre;
  placement::window_budget_options RetryBudget;
  /// Probes a second that one target may get from all entries.
  double ProbesPerTargetPerSecond = 60;
  /// Bytes of callers' requests that may be held at once.
  std::size_t MaxBufferedBytes = std::size_t(64) << 20;
  /// Time between the order to stop and the end of the process.
  base::duration GracePeriod = std::chrono::seconds(6);
  /// Called for each target that a request has crashed.
  std::function<void(const controlstate::crash_command &)> OnCrash;
  /// Called for each answer to a request that is in quarantine.
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
  /// Takes a newer view of the fleet into use.
  void apply(const fleet_view &View);
  /// True once callers can be served.
  [[nodiscard]] bool ready() const;
  /// Finishes what runs, takes no new connections after a while, and calls
  /// \p Done when nothing is left or the grace is over.
  void stop(std::function<void()> Done);

private:
  std::unique_ptr<gateway_state> State;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_GATEWAY_H
