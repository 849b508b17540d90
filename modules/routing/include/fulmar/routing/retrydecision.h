// What the recorded attempts of a request prove, and what may follow. No other
// place decides whether a request may be called "not run" or sent again.

#ifndef FULMAR_ROUTING_RETRYDECISION_H
#define FULMAR_ROUTING_RETRYDECISION_H

#include "fulmar/routing/routingtypes.h"

#include <optional>
#include <span>

namespace fulmar::routing {

/// True only if no byte was handed to any target, or every target that was
/// reached said itself that it did not start. Contradictory records prove
/// nothing.
bool provedNotRun(std::span<const attempt> Attempts);

/// True when no attempt reached a target, so that another one adds no load.
bool reachedNoTarget(std::span<const attempt> Attempts);

/// The kind of the final answer when no attempt was successful and no further
/// one follows. \p Reason is why the router stopped; it is kept when the
/// request was not run. The kind's entry in the error table says "not run" only
/// if provedNotRun().
base::error_kind finalErrorKind(std::span<const attempt> Attempts,
                                base::error_kind Reason);

struct attempt_limits {
  base::instant Now{};
  std::uint32_t MaxAttempts = 1;
  /// A retry token is available.
  bool BudgetLeft = false;
};

/// Empty when \p Request may be sent (again); else the kind of its final
/// answer.
std::optional<base::error_kind>
attemptRefusal(const request_profile &Request,
               std::span<const attempt> Attempts, const attempt_limits &Limits);

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_RETRYDECISION_H
