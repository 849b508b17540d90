// Bounds the log lines of each kind of event, so that a storm of one kind
// neither fills the log nor costs more than its share of the processor.

#ifndef FULMAR_TELEMETRY_INTERNAL_LINEBUDGET_H
#define FULMAR_TELEMETRY_INTERNAL_LINEBUDGET_H

#include "fulmar/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar::telemetry {

class line_budget {
public:
  /// Lines of one kind in a second.
  explicit line_budget(std::uint32_t MaxPerSecond) : Limit(MaxPerSecond) {}

  /// How many lines of the kind were left out before this one; empty when
  /// this one is to be left out too.
  std::optional<std::uint64_t> admit(std::string_view Kind, base::instant Now);

private:
  struct kind_state {
    base::instant SecondBegan{};
    std::uint32_t Written = 0;
    std::uint64_t LeftOut = 0;
  };

  std::uint32_t Limit;
  std::map<std::string, kind_state, std::less<>> Kinds;
};

} // namespace fulmar::telemetry

#endif // FULMAR_TELEMETRY_INTERNAL_LINEBUDGET_H
