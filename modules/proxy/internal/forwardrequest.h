// A validated request on its way through the attempts.

#ifndef FULMAR_PROXY_FORWARDREQUEST_H
#define FULMAR_PROXY_FORWARDREQUEST_H

#include "fulmar/proxy/proxytypes.h"
#include "fulmar/routing/routingtypes.h"
#include "fulmar/telemetry/trace.h"

#include <Poco/Net/HTTPRequest.h>

#include <cstdint>
#include <optional>
#include <string>

namespace fulmar::proxy {

struct forward_request {
  const Poco::Net::HTTPRequest &Head;
  body_framing Framing;
  routing::request_profile Profile;
  std::uint64_t ContentDigest = 0;
  /// The whole body; set exactly when Profile.Replayable is.
  std::optional<std::string> KeptBody;
  /// Unique among all requests of the system.
  std::string Id;
  /// The span of this entry's part.
  telemetry::trace_context Trace;
  /// The caller set a deadline, so it holds for the upload, too.
  bool CallerDeadline = false;
  /// The service's timeout, counted anew once an upload is complete.
  base::duration Timeout{};
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_FORWARDREQUEST_H
