// Crash reports of targets, and the quarantine of requests that crash targets.
//
// A request is quarantined once two distinct runs of targets crashed on it.
// After its quarantine, one further crash suffices, and each quarantine lasts
// twice as long as the one before.
//
// A target that crashes in several runs, on several different requests, is
// called sick: it is itself at fault. Its reports no longer count against
// requests that were present at less than half of its crashes, and quarantines
// that depend on these reports are lifted. Several requests that fail in one
// crash count as a single crash of the target, so they do not make it sick.

#ifndef FULMAR_CONTROLSTATE_CRASHTABLE_H
#define FULMAR_CONTROLSTATE_CRASHTABLE_H

#include "fulmar/controlstate/commands.h"
#include "fulmar/controlstate/replies.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace fulmar::controlstate {

struct crash_rules {
  std::int64_t WindowMs = 600'000;
  std::int64_t QuarantineMs = 600'000;
  /// A target is sick after this many crashes within the window if they also
  /// involve at least this many different requests.
  std::size_t SickTargetRequests = 4;
};

inline constexpr std::size_t MaxCrashReports = 10'000;
/// Longest quarantine, and how long a past one is remembered after its end. One
/// day, like the upper bound of the times in the policy.
inline constexpr std::int64_t MaxQuarantineMs = 86'400'000;
inline constexpr std::size_t MaxPastQuarantines = 1'000;
/// Longest time from a crash to its report, which is sent after the crash is
/// confirmed and may have to be repeated.
inline constexpr std::int64_t MaxCrashReportDelayMs = 1'500;
/// Distinct crashes after which a request is quarantined.
inline constexpr std::size_t QuarantineCrashThreshold = 2;

/// All times are in milliseconds of the replicated clock.
class crash_table {
public:
  crash_reply report(const crash_command &Crash, std::int64_t NowMs,
                     const crash_rules &Rules);
  /// Records that a target answered the request at \p AtMs. Drops all crashes
  /// of the request that may have happened before, i.e. were reported up to
  /// MaxCrashReportDelayMs later, and lifts its quarantine if too few remain.
  void recordAnswer(const std::string &Fingerprint, std::int64_t AtMs);
  /// Drops expired reports and quarantines. Returns true if a quarantine ended.
  bool advance(std::int64_t NowMs, const crash_rules &Rules);

  /// Maps the fingerprint of each quarantined request to the end of its
  /// quarantine.
  [[nodiscard]] const std::map<std::string, std::int64_t> &quarantines() const {
    return Quarantines;
  }

  [[nodiscard]] std::string encode() const;
  base::result<void> decode(std::string_view Encoded);

private:
  struct crash {
    crash_command Command;
    std::int64_t AtMs = 0;
    /// The target was found to be sick, so the crash does not count against the
    /// request. Never reset.
    bool Discounted = false;
  };
  friend auto fieldsOf(crash &Item) {
    return std::tie(Item.Command, Item.AtMs, Item.Discounted);
  }

  /// The latest quarantine of a request, which may not have ended yet.
  struct past_quarantine {
    std::int64_t EndedMs = 0;
    std::int64_t DurationMs = 0;
  };
  friend auto fieldsOf(past_quarantine &Item) {
    return std::tie(Item.EndedMs, Item.DurationMs);
  }

  void quarantine(const std::string &Fingerprint, std::int64_t NowMs,
                  const crash_rules &Rules);
  [[nodiscard]] bool contains(const crash_command &Crash) const;
  /// Fingerprints of the requests at each crash, by incarnation of the target.
  using crash_history = std::map<std::string, std::set<std::string>>;
  [[nodiscard]] crash_history crashHistoryOf(const std::string &Target) const;
  /// Requests against which the target's reports do not count because the
  /// target is sick; empty if it is not.
  [[nodiscard]] std::set<std::string>
  unreliablyReported(const std::string &Target, const crash_rules &Rules) const;
  /// Number of distinct crashes that count against the request.
  [[nodiscard]] std::size_t
  countedCrashes(const std::string &Fingerprint) const;
  /// Lifts the quarantine of a request if too few crashes count against it.
  void reevaluateQuarantine(const std::string &Fingerprint);
  void discountReports(const std::string &Target,
                       const std::set<std::string> &Unreliable);

  /// Oldest first.
  std::deque<crash> Crashes;
  std::map<std::string, std::int64_t> Quarantines;
  /// By fingerprint. Includes quarantines that have not ended; limited to
  /// MaxPastQuarantines.
  std::map<std::string, past_quarantine> PastQuarantines;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_CRASHTABLE_H
