// Idle connections to targets, kept for further exchanges.

#ifndef FULMAR_PROXY_CONNECTIONPOOL_H
#define FULMAR_PROXY_CONNECTIONPOOL_H

#include "fulmar/base/result.h"
#include "fulmar/base/time.h"
#include "fulmar/proxy/connection.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace fulmar::proxy {

struct connection_pool_options {
  std::size_t MaxIdlePerTarget = 32;
  std::size_t MaxIdle = 1024;
  base::duration IdleTimeout = std::chrono::seconds(5);
};

/// Thread-safe. Holds only connections that are in step: the last exchange
/// was read completely and nothing was received after it.
class connection_pool {
public:
  explicit connection_pool(connection_pool_options Limits);

  /// The most recently used connection to this incarnation that was idle no
  /// longer than \p MaxIdleTime; null when there is none.
  std::unique_ptr<connection> take(const std::string &Address,
                                   const std::string &Incarnation,
                                   base::duration MaxIdleTime);
  /// Opens and counts a new connection.
  base::result<std::unique_ptr<connection>> open(const std::string &Address,
                                                 base::duration Timeout);
  /// Keeps \p Idle, or closes it when the bounds are reached.
  void put(const std::string &Address, const std::string &Incarnation,
           std::unique_ptr<connection> Idle);
  /// Closes connections beyond their idle time. put() calls it, too.
  void expire();

  [[nodiscard]] std::uint64_t opened() const { return Opened; }
  [[nodiscard]] std::size_t idle() const;

private:
  struct idle_connection {
    std::unique_ptr<connection> Connection;
    base::instant Since;
  };
  struct idle_target {
    std::string Incarnation;
    // In order of Since, oldest first.
    std::deque<idle_connection> Connections;
  };

  void dropOld(idle_target &Target, base::instant Now);
  void expireLocked(base::instant Now);
  void forgetOther(idle_target &Target, const std::string &Incarnation);

  const connection_pool_options Options;
  mutable std::mutex Mutex;
  std::map<std::string, idle_target> Targets;
  // Sum of the sizes of all Connections.
  std::size_t Idle = 0;
  base::instant LastExpiry;
  std::atomic<std::uint64_t> Opened{0};
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_CONNECTIONPOOL_H
