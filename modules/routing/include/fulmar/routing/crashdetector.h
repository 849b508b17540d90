// Recognises requests that crash the target which runs them.
//
// A broken attempt makes its request a suspect, unless this instance has seen
// the same request answered lately. The suspicion is confirmed when the target
// then refuses connections, another one runs at its address, or it comes back
// with another incarnation; it is dropped when the target answers a question
// that was asked later, and when the request is answered by any target.
//
// What else the target answered this instance before does not count: with many
// instances and targets each pair meets rarely, and a target that has just come
// back has answered nobody.

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

/// One target's process that a request took down; for the control instances.
struct crash_report {
  std::uint64_t Fingerprint = 0;
  base::target_id Target;
  std::string Incarnation;

  friend auto operator<=>(const crash_report &, const crash_report &) = default;
};

/// Between two questions to a target under suspicion that has not answered: as
/// long as an answer may take.
inline constexpr base::duration ProbeInterval = std::chrono::milliseconds(250);

/// What became of a broken attempt.
enum class suspicion : std::uint8_t {
  Suspected,
  /// The same request was answered lately.
  AnsweredRecently,
};
std::string_view nameOf(suspicion Outcome);

class crash_detector {
public:
  /// A complete answer to \p Fingerprint that is no server error: the request
  /// crashes no target.
  void answered(std::uint64_t Fingerprint, base::instant Now);
  /// The connection broke after bytes were sent, without a whole answer.
  suspicion broken(const crash_report &Suspect, base::instant Now);
  /// The target answered what was asked at \p AskedAt.
  void probeAnswered(const base::target_id &Target, base::instant ProbedAt);
  /// A connection to the target was refused, or another target answers at its
  /// address.
  void unreachable(const base::target_id &Target, base::instant Now);
  /// The target runs as \p Incarnation now.
  void incarnationSeen(const base::target_id &Target,
                       const std::string &Incarnation, base::instant Now);

  /// When the request was answered last, as far as that is remembered.
  [[nodiscard]] std::optional<base::instant>
  lastAnswerTime(std::uint64_t Fingerprint) const;
  /// Some request is under suspicion of having ended \p Target.
  [[nodiscard]] bool suspects(const base::target_id &Target) const;
  /// Targets under suspicion that are to be asked now whether they run.
  std::vector<base::target_id> takeDueProbes(base::instant Now);
  /// Ends suspicions that were not confirmed in time.
  void removeExpired(base::instant Now);

  /// Returns and forgets the confirmed crashes since the last call.
  std::vector<crash_report> takeReports();
  /// Returns and forgets the suspicions that ended without a confirmation since
  /// the last call.
  std::vector<crash_report> takeUnconfirmed();

private:
  struct suspect {
    crash_report Report;
    base::instant Since{};
    /// When its target was asked last.
    std::optional<base::instant> ProbedAt;
  };

  [[nodiscard]] bool answeredRecently(std::uint64_t Fingerprint,
                                      base::instant Now) const;
  void confirm(const base::target_id &Target, base::instant Now,
               const std::string &Incarnation);

  /// Bounded; the oldest first.
  std::deque<suspect> Suspects;
  std::vector<crash_report> Confirmed;
  /// Bounded by MaxSuspects.
  std::vector<crash_report> Unconfirmed;
  /// When a request was last answered; bounded by Answers.
  std::unordered_map<std::uint64_t, base::instant> AnsweredAt;
  std::deque<std::uint64_t> Answers;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_CRASHDETECTOR_H
