// Derives what the router and the claims have to know of a caller's request.

#ifndef FULMAR_PROXY_REQUESTPROFILE_H
#define FULMAR_PROXY_REQUESTPROFILE_H

#include "fulmar/base/result.h"
#include "fulmar/base/time.h"
#include "fulmar/proxy/proxytypes.h"
#include "fulmar/routing/routingtypes.h"

#include <Poco/Net/HTTPRequest.h>

#include <cstdint>
#include <optional>
#include <string>

namespace fulmar::proxy {

/// The service's name: header Fulmar-Service, else the first path segment.
base::result<base::service_name>
serviceOf(const Poco::Net::HTTPRequest &Request);

/// Profile without fingerprint; Deadline is \p Now plus the time that the
/// caller leaves, bounded by the service's timeout. Fails with BadRequest on a
/// malformed header and with DeadlinePassed when no time is left.
base::result<routing::request_profile>
deriveProfile(const Poco::Net::HTTPRequest &Request,
              const base::service_name &Service, const service_policy &Policy,
              base::instant Now);

/// Digest of method, path and body. A body that is not kept is represented by
/// its length and by the Content-Digest header.
std::uint64_t contentDigest(const Poco::Net::HTTPRequest &Request,
                            const body_framing &Framing,
                            const std::optional<std::string> &KeptBody);

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_REQUESTPROFILE_H
