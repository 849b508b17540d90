// Distinct string types for the names that the system passes around, so that
// a target's id can't be handed over where a service's name is expected.

#ifndef FULMAR_BASE_IDENTIFIER_H
#define FULMAR_BASE_IDENTIFIER_H

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace fulmar::base {

/// An immutable name of the kind \p Tag.
template <typename Tag> class identifier {
public:
  identifier() = default;
  explicit identifier(std::string Text) : Value(std::move(Text)) {}

  [[nodiscard]] const std::string &str() const { return Value; }
  [[nodiscard]] bool empty() const { return Value.empty(); }

  friend auto operator<=>(const identifier &, const identifier &) = default;

private:
  std::string Value;
};

/// An instance of the system: an entry or a control process.
using instance_id = identifier<struct instance_tag>;
using target_id = identifier<struct target_tag>;
using service_name = identifier<struct service_tag>;
using data_centre_name = identifier<struct data_centre_tag>;

} // namespace fulmar::base

template <typename Tag> struct std::hash<fulmar::base::identifier<Tag>> {
  std::size_t
  operator()(const fulmar::base::identifier<Tag> &Name) const noexcept {
    return std::hash<std::string>()(Name.str());
  }
};

#endif // FULMAR_BASE_IDENTIFIER_H
