#include "fulmar/placement/windowedretrybudget.h"

#include <algorithm>

namespace fulmar::placement {

namespace {

/// Fractions of the allowed ratio and slack that are used. The rest covers
/// windows that split a burst, and entries that do not know of each other.
constexpr double SpentRatioShare = 0.75;
constexpr double SpentSlackShare = 0.5;

std::int64_t secondOf(base::instant Time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             Time.time_since_epoch())
      .count();
}

} // namespace

windowed_retry_budget::bucket &
windowed_retry_budget::current(base::instant Now) {
  const std::int64_t Number = secondOf(Now);
  const std::int64_t WindowSeconds = std::max<std::int64_t>(
      1, std::chrono::ceil<std::chrono::seconds>(Options.Window).count());
  const std::int64_t First = Number - WindowSeconds;
  while (!Buckets.empty() && Buckets.front().Number <= First) {
    Requests -= Buckets.front().Requests;
    Retries -= Buckets.front().Retries;
    Buckets.pop_front();
  }
  if (Buckets.empty() || Buckets.back().Number != Number)
    Buckets.push_back({.Number = Number});
  return Buckets.back();
}

void windowed_retry_budget::recordRequest(base::instant Now) {
  ++current(Now).Requests;
  ++Requests;
}

bool windowed_retry_budget::available(base::instant Now) {
  current(Now);
  const double Allowed =
      Options.Ratio * SpentRatioShare * Requests +
      Options.Slack * SpentSlackShare / static_cast<double>(Entries);
  return Retries + 1 <= Allowed;
}

bool windowed_retry_budget::take(base::instant Now) {
  if (!available(Now))
    return false;
  ++current(Now).Retries;
  ++Retries;
  return true;
}

} // namespace fulmar::placement
