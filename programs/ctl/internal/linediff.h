// Line by line difference of two texts.

#ifndef FULMAR_CTL_LINEDIFF_H
#define FULMAR_CTL_LINEDIFF_H

#include <cstdint>
#include <string>
#include <vector>

namespace fulmar::ctl {

struct diff_line {
  enum class kind : std::uint8_t { Same, Removed, Added };
  kind Kind = kind::Same;
  std::string Text;

  friend auto operator<=>(const diff_line &, const diff_line &) = default;
};

/// A shortest sequence of removals and additions that leads from \p From to
/// \p To.
std::vector<diff_line> diffLines(const std::string &From,
                                 const std::string &To);

} // namespace fulmar::ctl

#endif // FULMAR_CTL_LINEDIFF_H
