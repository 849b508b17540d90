// Rendezvous hashing on XXH3.

#include "fulmar/base/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace fulmar::base {

std::uint64_t digest(std::string_view Data, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Data.data(), Data.size(), Seed);
}

std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Member) {
  return digest(Member, digest(Key));
}

std::optional<instance_id>
rendezvousHolder(std::string_view Key, std::span<const instance_id> Members) {
  if (Members.empty())
    return std::nullopt;
  const auto Lighter = [Key](const instance_id &A, const instance_id &B) {
    const auto WeightA = rendezvousWeight(Key, A.str());
    const auto WeightB = rendezvousWeight(Key, B.str());
    return WeightA != WeightB ? WeightA < WeightB : A < B;
  };
  return *std::max_element(Members.begin(), Members.end(), Lighter);
}

} // namespace fulmar::base
