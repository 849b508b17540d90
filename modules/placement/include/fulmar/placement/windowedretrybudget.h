// The budget for sending a request again, per service.
//
// Answers loads in which many first sends fail at once and every entry would
// send again: what all entries together add within any window stays below a
// share of the requests plus a fixed slack. Each entry spends its own share of
// its own requests, and an equal part of the slack, so the sum holds without
// the entries talking to each other.

#ifndef FULMAR_PLACEMENT_WINDOWEDRETRYBUDGET_H
#define FULMAR_PLACEMENT_WINDOWEDRETRYBUDGET_H

#include "fulmar/base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace fulmar::placement {

struct windowed_retry_budget_options {
  /// Further sends for each request that arrived in the window.
  double Ratio = 0.2;
  /// Further sends in the window over all entries.
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

  /// A request arrived for the service.
  void recordRequest(base::instant Now);
  /// Takes one further send; false when there is none.
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
  /// The window's seconds in order, the present one last.
  std::deque<bucket> Buckets;
  std::uint32_t Requests = 0;
  std::uint32_t Retries = 0;
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_WINDOWEDRETRYBUDGET_H
