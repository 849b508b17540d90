// What the proxy asks before and tells after each attempt. The entry's router
// task implements it; tests use fakes.

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

  /// Chooses a target for the first or a further attempt. Waits at most as
  /// long as the service's queue allows. \p Earlier holds the attempts so far,
  /// none of which is repeated at the same target when another one exists. A
  /// further attempt is refused when the earlier ones or the retry budget do
  /// not allow it.
  virtual base::result<permit> acquire(const request_profile &Request,
                                       std::span<const attempt> Earlier) = 0;

  /// Ends a permit with what was seen.
  virtual void finish(const permit &Permit, const attempt &Outcome,
                      const request_profile &Request) = 0;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_IROUTER_H
