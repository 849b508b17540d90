// The requests that a server has in flight.

#ifndef FULMAR_PROXY_INFLIGHTLIST_H
#define FULMAR_PROXY_INFLIGHTLIST_H

#include "fulmar/base/time.h"
#include "fulmar/proxy/proxytypes.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace fulmar::proxy {

/// Thread-safe.
class in_flight_list {
public:
  std::uint64_t add(remaining_request Request);
  /// Completes what is known of a request once its head was read.
  void describe(std::uint64_t Id, const std::string &Method,
                const std::string &Path);
  void remove(std::uint64_t Id);

  [[nodiscard]] std::size_t size() const;
  /// Waits until the list is empty; returns what is left at \p Deadline.
  std::vector<remaining_request> waitEmpty(base::instant Deadline);

private:
  mutable std::mutex Mutex;
  std::condition_variable Emptied;
  std::map<std::uint64_t, remaining_request> Requests;
  std::uint64_t LastId = 0;
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_INFLIGHTLIST_H
