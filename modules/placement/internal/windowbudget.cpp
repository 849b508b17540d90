// Counts a window in whole seconds.

#include "fulmar/placement/windowbudget.h"

namespace fulmar::placement {

namespace {

/// Parts of the allowed ratio and slack that are spent; the rest covers
/// windows that cut a burst in two, and entries that do not know of each other.
constexpr double SpentRatio = 0.75;
constexpr double SpentSlack = 0.5;

std::int64_t secondOf(base::instant Time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             Time.time_since_epoch())
      .count();
}

} // namespace

window_budget::second &window_budget::current(base::instant Now) {
  const std::int64_t Number = secondOf(Now);
  const std::int64_t First =
      Number -
      std::chrono::duration_cast<std::chrono::seconds>(Options.Window).count();
  while (!Seconds.empty() && Seconds.front().Number <= First) {
    Requests -= Seconds.front().Requests;
    Again -= Seconds.front().Again;
    Seconds.pop_front();
  }
  if (Seconds.empty() || Seconds.back().Number != Number)
    Seconds.push_back({.Number = Number});
  return Seconds.back();
}

void window_budget::arrived(base::instant Now) {
  ++current(Now).Requests;
  ++Requests;
}

bool window_budget::available(base::instant Now) {
  current(Now);
  const double Allowed =
      Options.Ratio * SpentRatio * Requests +
      Options.Slack * SpentSlack / static_cast<double>(Entries);
  return Again + 1 <= Allowed;
}

bool window_budget::take(base::instant Now) {
  if (!available(Now))
    return false;
  ++current(Now).Again;
  ++Again;
  return true;
}

} // namespace fulmar::placement
