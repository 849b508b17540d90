// Calls methods of the control leader from the threads that serve callers:
// follows the leader and goes on to the next control instance when one does
// not answer.

#ifndef FULMAR_PROGRAMS_ENTRY_CONTROLCALLER_H
#define FULMAR_PROGRAMS_ENTRY_CONTROLCALLER_H

#include "fulmar/base/result.h"
#include "fulmar/base/time.h"
#include "fulmar/wire/rpcclient.h"

#include <json/value.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace fulmar::entry {

/// Thread-safe. Only for idempotent methods: a call may be sent again.
class control_caller {
public:
  explicit control_caller(std::vector<std::string> ControlAddresses);

  /// Fails with NoQuorum when no leader answered within \p Limit.
  base::result<Json::Value> call(const std::string &Method,
                                 const Json::Value &Parameters,
                                 base::duration Limit);

private:
  using client = std::unique_ptr<wire::rpc_client>;

  /// An idle client for \p Address, or a new one.
  client take(const std::string &Address);
  void giveBack(client Client);
  [[nodiscard]] std::string preferred() const;
  /// Decides whom to ask after \p Address failed with \p Error.
  void moveOn(const std::string &Address, const base::error &Error);

  const std::vector<std::string> Addresses;
  base::steady_clock Clock;
  mutable std::mutex Mutex;
  /// Guarded by Mutex.
  std::string Leader;
  std::vector<client> Idle;
};

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_CONTROLCALLER_H
