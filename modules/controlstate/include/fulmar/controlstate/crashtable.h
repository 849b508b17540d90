// Reports of crashed targets, and the requests that they put in quarantine. A
// request is quarantined once two distinct runs of targets crashed on it. A
// target that crashes run after run, on many different requests, is itself at
// fault: its reports do not count against requests that were there at less than
// half of its crashes, and quarantines that rested on them are lifted. Requests
// that broke at one and the same crash say nothing about the target. A request
// that crashes a target again after its quarantine is refused again at once,
// and for twice as long.

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
  /// Crashes of a target within the window, and different requests at them,
  /// that mark it as sick.
  std::size_t SickTargetRequests = 4;
};

inline constexpr std::size_t MaxCrashReports = 10'000;
/// Longest quarantine, and how long its end is remembered: a day, as the policy
/// bounds its own times.
inline constexpr std::int64_t MaxQuarantineMs = 86'400'000;
inline constexpr std::size_t MaxPastQuarantines = 1'000;
/// A crash is reported within this time: it is confirmed first, and its report
/// may be repeated.
inline constexpr std::int64_t MaxCrashReportDelayMs = 1'500;
/// Distinct crashes that put a request in quarantine.
inline constexpr std::size_t QuarantineCrashThreshold = 2;

/// Times are milliseconds of the replicated clock.
class crash_table {
public:
  crash_reply report(const crash_command &Crash, std::int64_t NowMs,
                     const crash_rules &Rules);
  /// Drops what was held against a request that a target answered at \p AtMs,
  /// but for crashes since.
  void recordAnswer(const std::string &Fingerprint, std::int64_t AtMs);
  /// Drops reports and quarantines whose time has passed. True when a
  /// quarantine ended.
  bool advance(std::int64_t NowMs, const crash_rules &Rules);

  /// Fingerprint to the time until which it is quarantined.
  [[nodiscard]] const std::map<std::string, std::int64_t> &quarantines() const {
    return Quarantines;
  }

  [[nodiscard]] std::string encode() const;
  base::result<void> decode(std::string_view Encoded);

private:
  struct crash {
    crash_command Command;
    std::int64_t AtMs = 0;
    /// Set for good once the target was found sick.
    bool Discounted = false;
  };
  friend auto fieldsOf(crash &Item) {
    return std::tie(Item.Command, Item.AtMs, Item.Discounted);
  }

  /// Of a request that has been in quarantine before.
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
  /// Requests by the run that crashed on them.
  using crash_history = std::map<std::string, std::set<std::string>>;
  [[nodiscard]] crash_history crashHistoryOf(const std::string &Target) const;
  /// Requests against which a sick target's reports do not count.
  [[nodiscard]] std::set<std::string>
  unreliablyReported(const std::string &Target, const crash_rules &Rules) const;
  [[nodiscard]] std::size_t
  countedCrashes(const std::string &Fingerprint) const;
  /// Lifts the quarantine of a request whose crashes no longer suffice for it.
  void reevaluateQuarantine(const std::string &Fingerprint);
  void discountReports(const std::string &Target,
                       const std::set<std::string> &Unreliable);

  /// In order of time.
  std::deque<crash> Crashes;
  std::map<std::string, std::int64_t> Quarantines;
  /// By fingerprint; holds each present quarantine, too. Bounded.
  std::map<std::string, past_quarantine> PastQuarantines;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_CRASHTABLE_H
