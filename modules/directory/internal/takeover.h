// What a new owner does not know yet: requests in flight that were started
// under an earlier owner by entries that do not report to this one. While a
// target changes hands nobody starts new work there, so that their number is
// bounded by what the target itself counts, less what entries report after it.

#ifndef FULMAR_DIRECTORY_INTERNAL_TAKEOVER_H
#define FULMAR_DIRECTORY_INTERNAL_TAKEOVER_H

#include "fulmar/base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace fulmar::directory {

struct takeover_options {
  /// Announcements that arrive sooner may have been sent before the target
  /// changed hands.
  base::duration Transit = std::chrono::milliseconds(100);
  /// Every entry reports within this time.
  base::duration ReportInterval = std::chrono::seconds(1);
  /// Counts taken before something is taken for unreported: a request that
  /// ends between a count and the report looks like it.
  int MaxCounts = 3;
  /// Requests in flight do not outlive this.
  base::duration LongestRequest = std::chrono::minutes(1);
};

class takeover {
public:
  explicit takeover(const takeover_options &Given) : Options(Given) {}

  /// The instance begins to act as the target's owner.
  void begin(base::instant Now);
  /// An announcement with the target's own count of requests in flight.
  void onAnnouncement(std::uint32_t InFlight, base::instant Now);

  /// Reports are to be summed up from this time on.
  [[nodiscard]] base::instant countedAt() const { return CountedAt; }
  /// Compares the count with \p Reported, the sum of the reports that arrived
  /// after countedAt().
  void update(std::uint64_t Reported, base::instant Now);

  /// Requests in flight beyond those that are reported; empty while not known.
  [[nodiscard]] std::optional<std::uint32_t> unreported() const {
    return UnreportedBound;
  }

private:
  takeover_options Options;
  base::instant BeganAt{};
  std::optional<std::uint32_t> Count;
  base::instant CountedAt{};
  int CountsTaken = 0;
  /// Only shrinks, because nobody starts new unreported work.
  std::optional<std::uint32_t> UnreportedBound;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_TAKEOVER_H
