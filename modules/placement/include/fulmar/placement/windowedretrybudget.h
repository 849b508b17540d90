// Retry budget of one service over a sliding time window.
//
// When many requests fail at once, retries from every entry would amplify the
// overload. Within any window, the retries of all entries together stay below a
// fraction of the requests plus a fixed slack. Each entry uses that fraction of
// its own requests and an equal part of the slack, so the overall limit holds
// without communication between entries.

#ifndef FULMAR_PLACEMENT_WINDOWEDRETRYBUDGET_H
#define FULMAR_PLACEMENT_WINDOWEDRETRYBUDGET_H

#include "fulmar/base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace fulmar::placement {

struct windowed_retry_budget_options {
  /// Retries allowed per request received in the window.
  double Ratio = 0.2;
  /// Additional retries allowed in the window, over all entries.
  double Slack = 75;
  base::duration Window = std::chrono::seconds(10);

  friend auto operator<=>(const windowed_retry_budget_options &,
                          const windowed_retry_budget_options &) = default;
};

class windowed_retry_budget {
public:
  explicit windowed_retry_budget(windowed_retry_budget_options Chosen)
      : Options(Chosen) {}

  void setOptions(const windowed_retry_budget_options &Chosen) {
    Options = Chosen;
  }
  void setEntries(std::size_t Count) { Entries = Count == 0 ? 1 : Count; }

  /// Counts a request received for the service.
  void recordRequest(base::instant Now);
  /// Consumes one retry from the budget; returns false if it is exhausted.
  bool take(base::instant Now);
  [[nodiscard]] bool available(base::instant Now);

private:
  struct bucket {
    std::int64_t Number = 0;
    std::uint32_t Requests = 0;
    std::uint32_t Retries = 0;
  };
  bucket &current(base::instant Now);

  windowed_retry_budget_options Options;
  std::size_t Entries = 1;
  /// One bucket per second of the window, oldest first.
  std::deque<bucket> Buckets;
  std::uint32_t Requests = 0;
  std::uint32_t Retries = 0;
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_WINDOWEDRETRYBUDGET_H
