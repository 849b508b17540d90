// Detects requests that crash the target that processes them.
//
// A request whose connection breaks becomes a suspect, unless this instance has
// recently seen a response to the same request. The suspicion is confirmed if
// the target then refuses connections, if another target runs at its address,
// or if it returns with a different incarnation. The suspicion is dropped if
// the target answers a probe that was sent after the connection broke, or if
// any target answers the request.
//
// Earlier responses of the target to this instance are not required as
// evidence. With many instances and targets, a given pair rarely communicates,
// and a target that has just restarted has not answered anyone yet.

#ifndef FULMAR_ROUTING_CRASHDETECTOR_H
#define FULMAR_ROUTING_CRASHDETECTOR_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/time.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fulmar::routing {

/// A target process that was crashed by a request, as reported to the control
/// instances.
struct crash_report {
  std::uint64_t Fingerprint = 0;
  base::target_id Target;
  std::string Incarnation;

  friend auto operator<=>(const crash_report &, const crash_report &) = default;
};

/// Interval between probes of a suspected target that does not answer. Equals
/// the time allowed for an answer.
inline constexpr base::duration ProbeInterval = std::chrono::milliseconds(250);

/// Result of recording a broken connection.
enum class suspicion : std::uint8_t {
  Suspected,
  /// Not suspected, because the same request was answered recently.
  AnsweredRecently,
};
std::string_view nameOf(suspicion Outcome);

class crash_detector {
public:
  /// Records a complete response to \p Fingerprint other than a server error,
  /// which shows that the request does not crash targets.
  void answered(std::uint64_t Fingerprint, base::instant Now);
  /// Records that the connection broke after bytes were sent and before the
  /// response was complete.
  suspicion broken(const crash_report &Suspect, base::instant Now);
  /// Records that the target answered the probe that was sent at
  /// \p ProbedAt.
  void probeAnswered(const base::target_id &Target, base::instant ProbedAt);
  /// Records that the target refused a connection or that another target
  /// answers at its address.
  void unreachable(const base::target_id &Target, base::instant Now);
  /// Records that the target now runs with \p Incarnation.
  void incarnationSeen(const base::target_id &Target,
                       const std::string &Incarnation, base::instant Now);

  /// Time of the last response to the request; empty if none is on record.
  [[nodiscard]] std::optional<base::instant>
  lastAnswerTime(std::uint64_t Fingerprint) const;
  /// Whether any request is suspected of having crashed \p Target.
  [[nodiscard]] bool suspects(const base::target_id &Target) const;
  /// Returns the suspected targets that are due for a probe and records that
  /// they are probed at \p Now.
  std::vector<base::target_id> takeDueProbes(base::instant Now);
  /// Drops the suspicions that were not confirmed in time.
  void removeExpired(base::instant Now);

  /// Returns the crashes that were confirmed since the last call.
  std::vector<crash_report> takeReports();
  /// Returns the suspicions that expired unconfirmed since the last call.
  std::vector<crash_report> takeUnconfirmed();

private:
  struct suspect {
    crash_report Report;
    base::instant Since{};
    /// Time of the last probe of its target.
    std::optional<base::instant> ProbedAt;
  };

  [[nodiscard]] bool answeredRecently(std::uint64_t Fingerprint,
                                      base::instant Now) const;
  void confirm(const base::target_id &Target, base::instant Now,
               const std::string &Incarnation);

  /// Oldest first, at most MaxSuspects.
  std::deque<suspect> Suspects;
  std::vector<crash_report> Confirmed;
  /// At most MaxSuspects.
  std::vector<crash_report> Unconfirmed;
  /// Time of the last response by fingerprint. Limited through Answers, which
  /// holds the same fingerprints in order of their first response.
  std::unordered_map<std::uint64_t, base::instant> AnsweredAt;
  std::deque<std::uint64_t> Answers;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_CRASHDETECTOR_H
