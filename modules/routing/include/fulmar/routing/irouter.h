// Interface through which the proxy acquires a permit before each attempt and
// reports the outcome afterwards. Implemented by the router task of the entry,
// and by fakes in tests.

#ifndef FULMAR_ROUTING_IROUTER_H
#define FULMAR_ROUTING_IROUTER_H

#include "fulmar/base/result.h"
#include "fulmar/routing/routingtypes.h"

#include <span>

namespace fulmar::routing {

/// Thread-safe.
class irouter {
public:
  virtual ~irouter() = default;

  /// Picks a target for the first attempt or a retry, waiting at most as long
  /// as the queue of the service allows. \p Earlier holds the attempts so far;
  /// their targets are not picked again if there is another usable target. A
  /// retry is refused if the earlier attempts or the retry budget rule it out.
  virtual base::result<permit> acquire(const request_profile &Request,
                                       std::span<const attempt> Earlier) = 0;

  /// Returns a permit with the outcome of its attempt.
  virtual void finish(const permit &Permit, const attempt &Outcome,
                      const request_profile &Request) = 0;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_IROUTER_H
