// Pool of idle connections to all targets.

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

struct connection_pool_options {
  /// IP address from which connections are opened; empty if the system chooses.
  std::string SourceAddress;
  /// Connections that have been idle for longer are not reused, even if the
  /// peer allows more.
  base::duration MaxIdle = base::duration::max();

  friend auto operator<=>(const connection_pool_options &,
                          const connection_pool_options &) = default;
};

class connection_pool {
public:
  /// \p ResponseObserver sees each response; \p Opened counts the connections.
  connection_pool(eventloop::loop &OwningLoop, connection_pool_options Chosen,
                  const header_names &Names, telemetry::counter &Opened,
                  std::shared_ptr<buffer_budget> Budget,
                  target_connection::response_observer ResponseObserver);

  /// Returns an idle connection to this incarnation of the target, or a new
  /// one; null if the address is malformed.
  connection_ptr acquire(const fleet::target_report &Target);
  /// Returns a new, unconnected connection, even if the pool holds an idle one.
  connection_ptr open(const fleet::target_report &Target);
  /// Puts the connection back into the pool if it is reusable, else closes it.
  void release(const connection_ptr &Connection);
  /// Closes connections that have been idle for too long. Where this would
  /// leave a target without an idle connection, one is taken out and returned,
  /// so that the caller can keep it alive with a request.
  std::vector<connection_ptr> closeStale();
  /// Closes the idle connections whose key is not in \p Keys.
  void keepOnly(const std::set<std::string> &Keys);

  /// Identifies one incarnation of a target at its address.
  static std::string keyOf(const fleet::target_report &Target);
  /// Returns the target's id from a key made by keyOf().
  static std::string targetIdOf(const std::string &Key) {
    return Key.substr(0, Key.find('/'));
  }

private:
  eventloop::loop &Loop;
  connection_pool_options Options;
  const header_names &HeaderNames;
  telemetry::counter &OpenedCounter;
  std::shared_ptr<buffer_budget> Buffers;
  target_connection::response_observer Observer;
  /// Idle connections by key, the most recently used last.
  std::map<std::string, std::vector<connection_ptr>> Idle;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_CONNECTIONPOOL_H
