// Bounds the requests in flight that a new owner does not know of: those that
// were started under an earlier owner by entries that do not report to the new
// one.
//
// While the owner of a target changes, no new requests are started there. Their
// number is therefore bounded by the target's own count of requests in flight,
// minus those that entries report afterwards.

#ifndef FULMAR_DIRECTORY_INTERNAL_TAKEOVER_H
#define FULMAR_DIRECTORY_INTERNAL_TAKEOVER_H

#include "fulmar/base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace fulmar::directory {

struct takeover_options {
  /// Announcements that arrive earlier than this may have been sent before the
  /// owner changed.
  base::duration Transit = std::chrono::milliseconds(100);
  /// Every entry reports within this time.
  base::duration ReportInterval = std::chrono::seconds(1);
  /// Number of counts to take before a difference is accepted as unreported
  /// requests. A request that ends between a count and the entry's report
  /// causes the same difference.
  int MaxCounts = 3;
  /// No request in flight lasts longer than this.
  base::duration LongestRequest = std::chrono::minutes(1);
};

class takeover {
public:
  explicit takeover(const takeover_options &Given) : Options(Given) {}

  /// Starts a takeover: the instance begins to act as the target's owner.
  void begin(base::instant Now);
  /// Processes an announcement, with the target's own count of requests in
  /// flight.
  void onAnnouncement(std::uint32_t InFlight, base::instant Now);

  /// Returns the time after which reports are to be summed for update().
  [[nodiscard]] base::instant countedAt() const { return CountedAt; }
  /// Compares the target's count with \p Reported, the sum of the reports that
  /// arrived after countedAt().
  void update(std::uint64_t Reported, base::instant Now);

  /// Returns the maximum number of unreported requests in flight; empty while
  /// it is unknown.
  [[nodiscard]] std::optional<std::uint32_t> unreported() const {
    return UnreportedBound;
  }

private:
  takeover_options Options;
  base::instant BeganAt{};
  std::optional<std::uint32_t> Count;
  base::instant CountedAt{};
  int CountsTaken = 0;
  /// Never increases, because no new unreported requests are started.
  std::optional<std::uint32_t> UnreportedBound;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_TAKEOVER_H
