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

enum class send_decision : std::uint8_t { Send, Wait, Refuse };

/// The best target that was found.
struct admission_offer {
  load_report Load;
  hidden_requests Hidden = 0;
};

struct admission_request {
  /// Time that the request takes on an idle, undisturbed target, or
  /// assumedTime().
  base::duration UsualTime{};
  /// Until the answer is worth less; not positive when it is late already.
  base::duration ToObjective{};
  /// Until the caller or the route gives up.
  base::duration ToEnd{};
};

/// What a request is taken to need before others like it were seen. Without it
/// an entry that has just started serves a backlog first come, first served,
/// each request a little too late.
base::duration assumedTime(base::duration Objective, base::duration Timeout);

/// \p Offer is empty when no target answered.
send_decision decideSend(const std::optional<admission_offer> &Offer,
                         const admission_request &Request);

/// When a refused caller should come back, as a time from now: soon while it
/// can still be on time, else after a good part of the time that it has left.
/// \p Spread in [0, 1) keeps callers that were refused together apart.
base::duration returnAfter(const admission_request &Request, double Spread);

/// Like returnAfter(), where targets that had room turned the request away: the
/// next one may well take it, so that only callers that were refused together
/// are kept apart.
base::duration returnAfterRefusal(const admission_request &Request,
                                  double Spread);

/// Like returnAfter(), where no target takes work for \p Closed: spread over as
/// long a time again, so that those who were refused meanwhile don't return in
/// one wave.
base::duration returnAfterClosure(base::duration Closed,
                                  const admission_request &Request,
                                  double Spread);

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_ADMISSION_H
