// Streams bodies between a caller and a target in bounded memory.

#ifndef FULMAR_PROXY_BODYTRANSFER_H
#define FULMAR_PROXY_BODYTRANSFER_H

#include "fulmar/proxy/callerexchange.h"
#include "fulmar/proxy/connection.h"
#include "targetexchange.h"

#include <cstdint>

namespace fulmar::proxy {

enum class transfer_end : std::uint8_t {
  /// The whole body was handed over.
  Done,
  /// The caller's part ended early: its upload is incomplete, or it has gone.
  CallerBroke,
  /// The caller's upload is not validly coded.
  CallerMalformed,
  /// The caller's upload exceeds the service's bound.
  CallerTooLarge,
  /// The target's part ended early.
  TargetBroke,
  /// The target answers, or closes, before it has taken the whole upload.
  EarlyAnswer,
  TimedOut,
};

struct upload_limits {
  std::uint64_t MaxBytes = 0;
  base::duration IdleTimeout{};
  base::instant Deadline{};
};

/// Sends the caller's body to \p Target.
transfer_end transferUpload(caller_exchange &Caller, connection &Target,
                            const body_framing &Framing,
                            const upload_limits &Limits);

/// Sends the rest of the target's answer to the caller, whose head and first
/// part were sent.
transfer_end transferDownload(target_exchange &Exchange,
                              caller_exchange &Caller,
                              base::duration IdleTimeout);

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_BODYTRANSFER_H
