// Fingerprints, which identify a request across retries for claims and
// quarantine.

#ifndef FULMAR_ROUTING_FINGERPRINT_H
#define FULMAR_ROUTING_FINGERPRINT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar::routing {

/// Digest of the service and the caller's idempotency key.
std::uint64_t fingerprintOfKey(std::string_view Service, std::string_view Key);

/// Digest of method, path and body of a request without a key.
std::uint64_t fingerprintOfContent(std::string_view Method,
                                   std::string_view Path,
                                   std::string_view Body);

/// Formats a fingerprint as 16 hexadecimal digits, as used in published items.
std::string fingerprintText(std::uint64_t Fingerprint);
std::optional<std::uint64_t> parseFingerprint(std::string_view Text);

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_FINGERPRINT_H
