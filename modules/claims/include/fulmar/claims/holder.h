// Names of claim holders, in the form INSTANCE/INCARNATION/COUNT. They assign
// each claim to one run of an instance, so that the claims of a run can be
// found when that run has ended.

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
/// Common prefix of the names of all holders in one run of an instance.
std::string holderPrefix(const std::string &Instance,
                         const std::string &Incarnation);
/// Empty if \p Holder is not of the form INSTANCE/INCARNATION/COUNT.
std::optional<holder_name> parseHolder(const std::string &Holder);

} // namespace fulmar::claims

#endif // FULMAR_CLAIMS_HOLDER_H
