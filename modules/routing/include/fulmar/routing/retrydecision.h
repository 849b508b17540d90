// Decides from the recorded attempts of a request whether it may be reported as
// "not run" and whether it may be retried. No other code makes these decisions.

#ifndef FULMAR_ROUTING_RETRYDECISION_H
#define FULMAR_ROUTING_RETRYDECISION_H

#include "fulmar/routing/routingtypes.h"

#include <optional>
#include <span>

namespace fulmar::routing {

/// Returns true only if no byte was sent to any target, or if every target that
/// was reached reported that it did not start the request. Contradictory
/// records prove nothing.
bool provedNotRun(std::span<const attempt> Attempts);

/// Returns true if no attempt reached a target, so that a retry does not add to
/// the load of the targets.
bool reachedNoTarget(std::span<const attempt> Attempts);

/// Error that the caller gets if no attempt succeeded and no further one
/// follows. \p Reason is why the router gave up; it is returned unchanged if
/// the request was not run. The error table lists the returned kind as "not
/// run" only if provedNotRun() is true.
base::error_kind finalErrorKind(std::span<const attempt> Attempts,
                                base::error_kind Reason);

struct attempt_limits {
  base::instant Now{};
  std::uint32_t MaxAttempts = 1;
  /// A retry token is available.
  bool BudgetLeft = false;
};

/// Empty if the first attempt or a retry of \p Request is allowed; otherwise
/// the error that the caller gets.
std::optional<base::error_kind>
attemptRefusal(const request_profile &Request,
               std::span<const attempt> Attempts, const attempt_limits &Limits);

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_RETRYDECISION_H
