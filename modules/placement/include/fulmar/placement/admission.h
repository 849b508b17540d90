// Admission control: whether a request is sent now, waits or is refused.
//
// Under overload, requests that queue at the targets all miss their objective.
// A request therefore waits at the entry as long as it can still be on time, is
// sent when a slot is free, and is refused otherwise. Requests that are already
// late only get slots that no other request is waiting for.

#ifndef FULMAR_PLACEMENT_ADMISSION_H
#define FULMAR_PLACEMENT_ADMISSION_H

#include "fulmar/base/time.h"
#include "fulmar/placement/loadreport.h"

#include <cstdint>
#include <optional>

namespace fulmar::placement {

enum class admission_decision : std::uint8_t { Send, Wait, Refuse };

/// The best target found for a request.
struct admission_candidate {
  load_report Load;
  unreported_requests Unreported = 0;
};

struct admission_request {
  /// Duration of the request on an idle, undisturbed target, or
  /// assumedUnloadedTime() while that is unknown.
  base::duration UnloadedTime{};
  /// Time left until the objective is missed; zero or negative if the request
  /// is already late.
  base::duration TimeToObjective{};
  /// Time left until the caller or the route times out.
  base::duration TimeToDeadline{};
};

/// Returns the duration to assume for a request before any request of its route
/// has completed. Without this assumption, a newly started entry would work
/// through a backlog in order of arrival and finish each request slightly late.
base::duration assumedUnloadedTime(base::duration Objective,
                                   base::duration Timeout);

/// \p Candidate is empty if no target answered a probe.
admission_decision
decideAdmission(const std::optional<admission_candidate> &Candidate,
                const admission_request &Request);

/// Returns the delay after which a refused caller should retry: short while the
/// request can still be on time, otherwise a larger part of its remaining time.
/// \p Jitter in [0, 1) spreads callers that were refused at the same time.
base::duration retryAfter(const admission_request &Request, double Jitter);

/// Like retryAfter(), for a request that targets refused although they had free
/// slots. Another target may accept it, so the delay only needs to spread
/// callers that were refused at the same time.
base::duration retryAfterRefusal(const admission_request &Request,
                                 double Jitter);

/// Like retryAfter(), for a service whose targets accept no requests for the
/// next \p Closed. Retries are spread over the same time again after that, so
/// that the callers refused in the meantime do not return all at once.
base::duration retryAfterClosure(base::duration Closed,
                                 const admission_request &Request,
                                 double Jitter);

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_ADMISSION_H
