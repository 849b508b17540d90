// Headers on the connections between entries, over which an entry that has lost
// contact to the targets of a service passes requests on.
//
// They are understood only on the separate listener for other entries. On all
// other connections they are removed, so that neither a caller nor a target can
// pass for an entry.

#ifndef FULMAR_GATEWAY_INTERNAL_RELAYHEADERS_H
#define FULMAR_GATEWAY_INTERNAL_RELAYHEADERS_H

#include "fulmar/base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar::gateway {

inline constexpr std::string_view RelayRequestHeader = "Fulmar-Relay";
inline constexpr std::string_view RelayResponseHeader = "Fulmar-Relayed";
/// Space that the header may take beyond the limit for callers' headers.
inline constexpr std::size_t MaxRelayHeaderBytes = 1'024;

/// What the first entry says of a request that it passes on.
struct relay_request {
  /// Id of the first entry.
  std::string From;
  /// Version of its routing plan.
  std::uint64_t PlanVersion = 0;
  /// The service that it chose.
  std::string Service;
  /// How long ago the caller first sent the request.
  base::duration Age{};

  friend auto operator<=>(const relay_request &,
                          const relay_request &) = default;
};

enum class relay_outcome : std::uint8_t {
  /// The request was sent to a target; the response tells what became of it.
  Sent,
  /// The request was not sent and is refused, for a reason that other entries
  /// would give too.
  Refused,
  /// The request was not sent; another entry may be able to.
  TryElsewhere,
};

/// What the second entry says of its response.
struct relay_result {
  relay_outcome Outcome = relay_outcome::Refused;
  /// Key of the run of the target that responded; empty if none did.
  std::string TargetKey;

  friend auto operator<=>(const relay_result &, const relay_result &) = default;
};

std::string formatRelayRequest(const relay_request &Request);
std::string formatRelayResult(const relay_result &Result);
/// Both return nothing for malformed text.
std::optional<relay_request> parseRelayRequest(std::string_view Text);
std::optional<relay_result> parseRelayResult(std::string_view Text);

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_RELAYHEADERS_H
