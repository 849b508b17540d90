// Reports of crashed targets, and the requests that they put in quarantine. A
// request is quarantined once two distinct runs of targets crashed on it. A
// target that crashes on many different requests is itself at fault: none of
// its reports counts, and quarantines that rested on them are lifted.

#ifndef FULMAR_CONTROLSTATE_CRASHTABLE_H
#define FULMAR_CONTROLSTATE_CRASHTABLE_H

#include "fulmar/controlstate/commands.h"
#include "fulmar/controlstate/replies.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace fulmar::controlstate {

struct crash_rules {
  std::int64_t WindowMs = 600'000;
  std::int64_t QuarantineMs = 600'000;
  /// Different requests within the window that mark a target as sick.
  std::size_t SickTargetRequests = 4;
};

inline constexpr std::size_t MaxCrashReports = 10'000;
/// Distinct crashes that put a request in quarantine.
inline constexpr std::size_t QuarantineCrashes = 2;

/// Times are milliseconds of the replicated clock.
class crash_table {
public:
  crash_reply report(const crash_command &Crash, std::int64_t NowMs,
                     const crash_rules &Rules);
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

  [[nodiscard]] bool contains(const crash_command &Crash) const;
  [[nodiscard]] bool isSick(const std::string &Target,
                            const crash_rules &Rules) const;
  [[nodiscard]] std::size_t crashesOf(const std::string &Fingerprint) const;
  void discount(const std::string &Target);

  /// In order of time.
  std::deque<crash> Crashes;
  std::map<std::string, std::int64_t> Quarantines;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_CRASHTABLE_H
