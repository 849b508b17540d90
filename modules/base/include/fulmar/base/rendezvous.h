// Rendezvous hashing: every instance computes the same holder for a key from
// the same list of members, and a lost member moves only its own keys.

#ifndef FULMAR_BASE_RENDEZVOUS_H
#define FULMAR_BASE_RENDEZVOUS_H

#include "fulmar/base/identifier.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace fulmar::base {

/// 64-bit digest of \p Data (XXH3).
std::uint64_t digest(std::string_view Data, std::uint64_t Seed = 0);

/// Weight of \p Member for \p Key; the largest weight holds the key.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Member);

/// The holder of \p Key among \p Members; empty for an empty list.
std::optional<instance_id>
rendezvousHolder(std::string_view Key, std::span<const instance_id> Members);

} // namespace fulmar::base

#endif // FULMAR_BASE_RENDEZVOUS_H
