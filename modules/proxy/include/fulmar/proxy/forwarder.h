// Serves one caller's request through the router and the claims: validates,
// claims the idempotency key, tries targets as the router permits, and hands
// the caller its own whole answer or a refusal.

#ifndef FULMAR_PROXY_FORWARDER_H
#define FULMAR_PROXY_FORWARDER_H

#include "fulmar/base/time.h"
#include "fulmar/claims/iclaimstore.h"
#include "fulmar/proxy/callerexchange.h"
#include "fulmar/proxy/connectionpool.h"
#include "fulmar/proxy/iexchangeobserver.h"
#include "fulmar/proxy/proxytypes.h"
#include "fulmar/routing/irouter.h"
#include "fulmar/telemetry/metrics.h"
#include "fulmar/telemetry/trace.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace fulmar::proxy {

struct forwarder_options {
  /// Unique to this start of the process, see claims::holderPrefix(); begins
  /// every request id and every claim's holder.
  std::string Instance;
  base::duration ConnectTimeout = std::chrono::seconds(1);
  /// Longest pause in a body that is streamed.
  base::duration BodyIdleTimeout = std::chrono::seconds(30);
  /// Idle time after which a kept connection no longer carries a request that
  /// can't be sent again.
  base::duration NonIdempotentReuse = std::chrono::seconds(1);
  /// Bodies up to this size are kept for a further attempt.
  std::uint64_t KeptBodyBytes = 65536;
  /// Answers up to this size are held until complete, and recorded.
  std::size_t HeldAnswerBytes = 65536;
};

/// Outlives the forwarder.
struct forwarder_parts {
  routing::irouter &Router;
  claims::iclaim_store &Claims;
  iexchange_observer &Observer;
  connection_pool &Pool;
  /// Thread-safe; empty for an unknown service.
  std::function<std::optional<service_policy>(const base::service_name &)>
      PolicyOf;
  /// Thread-safe; other entries for Fulmar-Entries.
  std::function<std::string()> OtherEntries;
  /// Null: nothing is counted or traced.
  telemetry::metrics *Metrics = nullptr;
  telemetry::span_exporter *Spans = nullptr;
};

/// Thread-safe: each call serves one exchange on the calling thread.
class forwarder {
public:
  forwarder(forwarder_options Settings, forwarder_parts Collaborators);

  void handle(caller_exchange &Caller);

private:
  std::string nextRequestId();

  const forwarder_options Options;
  forwarder_parts Parts;
  std::atomic<std::uint64_t> Requests{0};
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_FORWARDER_H
