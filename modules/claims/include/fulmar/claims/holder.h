// Names of the holders of claims: INSTANCE/INCARNATION/COUNT. They tie a claim
// to one run of one instance, so that the loss of that run is known to be the
// loss of its claims.

#ifndef FULMAR_CLAIMS_HOLDER_H
#define FULMAR_CLAIMS_HOLDER_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace fulmar::claims {

struct holder_name {
  std::string Instance;
  std::string Incarnation;
  std::uint64_t Count = 0;

  friend auto operator<=>(const holder_name &, const holder_name &) = default;
};

std::string makeHolder(const holder_name &Name);
/// What the names of all holders of one run of an instance begin with.
std::string holderPrefix(const std::string &Instance,
                         const std::string &Incarnation);
/// Empty when \p Holder is not of the form above.
std::optional<holder_name> parseHolder(const std::string &Holder);

} // namespace fulmar::claims

#endif // FULMAR_CLAIMS_HOLDER_H
