// The kept connections to all targets.

#ifndef FULMAR_GATEWAY_INTERNAL_CONNECTIONPOOL_H
#define FULMAR_GATEWAY_INTERNAL_CONNECTIONPOOL_H

#include "fulmar/fleet/targetreport.h"
#include "fulmar/telemetry/metrics.h"
#include "internal/targetconnection.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmar::gateway {

using connection_ptr = std::shared_ptr<target_connection>;

class connection_pool {
public:
  /// \p ResponseObserver sees each answer of a target.
  connection_pool(eventloop::loop &OwningLoop, const header_names &Names,
                  telemetry::metrics &Registry,
                  std::shared_ptr<buffer_budget> Budget,
                  target_connection::response_observer ResponseObserver);

  /// An idle connection to this run of the target, or a new one; null for an
  /// address that can't be read.
  connection_ptr acquire(const fleet::target_report &Target);
  /// A channel that is not connected yet, whatever is kept.
  connection_ptr open(const fleet::target_report &Target);
  /// Keeps the connection for another call if it is fit for one.
  void release(const connection_ptr &Connection);
  /// Closes what has been idle for too long, but for one connection to each
  /// target: that is returned, to be refreshed by a call.
  std::vector<connection_ptr> closeStale();
  /// Closes the idle connections of all other targets.
  void keepOnly(const std::set<std::string> &Keys);

  /// Names one run of a target at its address.
  static std::string keyOf(const fleet::target_report &Target);
  /// The target's id in what keyOf() returned.
  static std::string targetIdOf(const std::string &Key) {
    return Key.substr(0, Key.find('/'));
  }

private:
  eventloop::loop &Loop;
  const header_names &HeaderNames;
  telemetry::counter &OpenedCounter;
  std::shared_ptr<buffer_budget> Buffers;
  target_connection::response_observer Observer;
  /// The most recently used last.
  std::map<std::string, std::vector<connection_ptr>> Idle;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_CONNECTIONPOOL_H
