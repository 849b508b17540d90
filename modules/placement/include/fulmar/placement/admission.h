// Whether a request is sent now, waits for a better moment, or is refused.
//
// Answers loads above what the targets bear. Requests that queue at targets
// all become late; so a request waits at the entry while it can still be on
// time, takes a slot that is free, and is refused once neither holds. Work that
// is late already takes only slots that nobody waits for.

#ifndef FULMAR_PLACEMENT_ADMISSION_H
#define FULMAR_PLACEMENT_ADMISSION_H

#include "fulmar/base/time.h"
#include "fulmar/placement/loadreport.h"

#include <cstdint>
#include <optional>

namespace fulmar::placement {

enum class admission_decision : std::uint8_t { Send, Wait, Refuse };

/// The best target that was found.
struct admission_candidate {
  load_report Load;
  unreported_requests Unreported = 0;
};

struct admission_request {
  /// Time that the request takes on an idle, undisturbed target, or
  /// assumedUnloadedTime().
  base::duration UnloadedTime{};
  /// Until the answer is worth less; not positive when it is late already.
  base::duration TimeToObjective{};
  /// Until the caller or the route gives up.
  base::duration TimeToDeadline{};
};

/// What a request is taken to need before others like it were seen. Without it
/// an entry that has just started serves a backlog first come, first served,
/// each request a little too late.
base::duration assumedUnloadedTime(base::duration Objective,
                                   base::duration Timeout);

/// \p Offer is empty when no target answered.
admission_decision
decideAdmission(const std::optional<admission_candidate> &Candidate,
                const admission_request &Request);

/// When a refused caller should come back, as a time from now: soon while it
/// can still be on time, else after a good part of the time that it has left.
/// \p Spread in [0, 1) keeps callers that were refused together apart.
base::duration retryAfter(const admission_request &Request, double Jitter);

/// Like retryAfter(), where targets that had room turned the request away: the
/// next one may well take it, so that only callers that were refused together
/// are kept apart.
base::duration retryAfterRefusal(const admission_request &Request,
                                 double Jitter);

/// Like retryAfter(), where no target takes work for \p Closed: spread over as
/// long a time again, so that those who were refused meanwhile don't return in
/// one wave.
base::duration retryAfterClosure(base::duration Closed,
                                 const admission_request &Request,
                                 double Jitter);

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_ADMISSION_H
