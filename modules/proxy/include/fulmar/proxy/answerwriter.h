// Turns an error into the HTTP answer that the table of errors prescribes.

#ifndef FULMAR_PROXY_ANSWERWRITER_H
#define FULMAR_PROXY_ANSWERWRITER_H

#include "fulmar/base/baseerrors.h"
#include "fulmar/proxy/callerexchange.h"
#include "fulmar/proxy/proxytypes.h"

#include <string>

namespace fulmar::proxy {

struct refusal {
  base::error Error;
  /// The verdict on the attempts: no target ran the request. Claimed in the
  /// answer only when the table allows it as well.
  bool ProvedNotRun = false;
  /// A target was reached; levels above should not try again.
  bool RetriesUsed = false;
  /// Other entries that may serve the request, comma-separated IP:PORT.
  std::string Entries;
  /// Empty unless the caller's request is known.
  std::string RequestId;
};

/// JSON body {"error", "message", "not_run", "retry_after_s"} of \p Refusal.
std::string refusalBody(const refusal &Refusal);

/// Sends \p Refusal at once; does nothing when an answer has begun.
io_status sendRefusal(caller_exchange &Caller, const refusal &Refusal);

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_ANSWERWRITER_H
