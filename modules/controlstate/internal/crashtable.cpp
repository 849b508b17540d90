// Evaluation of crash reports by request and by target.

#include "fulmar/controlstate/crashtable.h"

#include "fulmar/controlstate/commandpacking.h"

#include <algorithm>

namespace fulmar::controlstate {

crash_reply crash_table::report(const crash_command &Crash, std::int64_t NowMs,
                                const crash_rules &Rules) {
  (void)advance(NowMs, Rules);
  const bool New = !contains(Crash);
  if (New) {
    if (Crashes.size() >= MaxCrashReports)
      Crashes.pop_front();
    Crashes.push_back({.Command = Crash, .AtMs = NowMs});
  }
  discountReports(Crash.Target, unreliablyReported(Crash.Target, Rules));
  const std::size_t Count = countedCrashes(Crash.Fingerprint);
  const std::size_t Needed = PastQuarantines.contains(Crash.Fingerprint)
                                 ? 1
                                 : QuarantineCrashThreshold;
  if (New && Count >= Needed && !Quarantines.contains(Crash.Fingerprint))
    quarantine(Crash.Fingerprint, NowMs, Rules);
  return {.Crashes = Count,
          .Quarantined = Quarantines.contains(Crash.Fingerprint)};
}

bool crash_table::advance(std::int64_t NowMs, const crash_rules &Rules) {
  while (!Crashes.empty() && Crashes.front().AtMs + Rules.WindowMs <= NowMs)
    Crashes.pop_front();
  std::erase_if(PastQuarantines, [NowMs](const auto &Entry) {
    return Entry.second.EndedMs + MaxQuarantineMs <= NowMs;
  });
  return std::erase_if(Quarantines, [&](const auto &Entry) {
           return Entry.second <= NowMs;
         }) > 0;
}

void crash_table::quarantine(const std::string &Fingerprint, std::int64_t NowMs,
                             const crash_rules &Rules) {
  const auto Earlier = PastQuarantines.find(Fingerprint);
  const std::int64_t DurationMs =
      Earlier == PastQuarantines.end()
          ? Rules.QuarantineMs
          : std::min(2 * Earlier->second.DurationMs, MaxQuarantineMs);
  Quarantines[Fingerprint] = NowMs + DurationMs;
  PastQuarantines[Fingerprint] = {.EndedMs = NowMs + DurationMs,
                                  .DurationMs = DurationMs};
  if (PastQuarantines.size() > MaxPastQuarantines)
    PastQuarantines.erase(
        std::min_element(PastQuarantines.begin(), PastQuarantines.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.EndedMs < Right.second.EndedMs;
                         }));
}

bool crash_table::contains(const crash_command &Crash) const {
  return std::any_of(Crashes.begin(), Crashes.end(), [&](const crash &Known) {
    return Known.Command == Crash;
  });
}

crash_table::crash_history
crash_table::crashHistoryOf(const std::string &Target) const {
  crash_history History;
  for (const crash &Crash : Crashes) {
    if (Crash.Command.Target == Target)
      History[Crash.Command.Incarnation].insert(Crash.Command.Fingerprint);
  }
  return History;
}

std::set<std::string>
crash_table::unreliablyReported(const std::string &Target,
                                const crash_rules &Rules) const {
  const crash_history History = crashHistoryOf(Target);
  std::map<std::string, std::size_t> RunsOf;
  for (const auto &[Run, Requests] : History) {
    for (const std::string &Request : Requests)
      ++RunsOf[Request];
  }
  const bool Sick = History.size() >= Rules.SickTargetRequests &&
                    RunsOf.size() >= Rules.SickTargetRequests;
  std::set<std::string> Unreliable;
  for (const auto &[Request, Runs] : RunsOf) {
    if (Sick && 2 * Runs < History.size())
      Unreliable.insert(Request);
  }
  return Unreliable;
}

std::size_t crash_table::countedCrashes(const std::string &Fingerprint) const {
  std::set<std::pair<std::string, std::string>> Runs;
  for (const crash &Crash : Crashes) {
    if (Crash.Command.Fingerprint == Fingerprint && !Crash.Discounted)
      Runs.insert({Crash.Command.Target, Crash.Command.Incarnation});
  }
  return Runs.size();
}

void crash_table::discountReports(const std::string &Target,
                                  const std::set<std::string> &Unreliable) {
  std::set<std::string> Affected;
  for (crash &Crash : Crashes) {
    if (Crash.Command.Target != Target || Crash.Discounted ||
        !Unreliable.contains(Crash.Command.Fingerprint))
      continue;
    Crash.Discounted = true;
    Affected.insert(Crash.Command.Fingerprint);
  }
  for (const std::string &Fingerprint : Affected)
    reevaluateQuarantine(Fingerprint);
}

void crash_table::reevaluateQuarantine(const std::string &Fingerprint) {
  if (countedCrashes(Fingerprint) >= QuarantineCrashThreshold)
    return;
  Quarantines.erase(Fingerprint);
  PastQuarantines.erase(Fingerprint);
}

void crash_table::recordAnswer(const std::string &Fingerprint,
                               std::int64_t AtMs) {
  const auto Dropped = std::erase_if(Crashes, [&](const crash &Crash) {
    return Crash.Command.Fingerprint == Fingerprint &&
           Crash.AtMs <= AtMs + MaxCrashReportDelayMs;
  });
  if (Dropped > 0)
    reevaluateQuarantine(Fingerprint);
}

std::string crash_table::encode() const {
  return claims::packValue(
      std::make_tuple(Crashes, Quarantines, PastQuarantines));
}

base::result<void> crash_table::decode(std::string_view Encoded) {
  // Earlier versions encoded only the first two tables; the third is then left
  // empty.
  using tables =
      std::tuple<std::deque<crash>, std::map<std::string, std::int64_t>,
                 std::map<std::string, past_quarantine>>;
  BOOST_OUTCOME_TRY(Decoded, claims::unpackValue<tables>(Encoded));
  std::tie(Crashes, Quarantines, PastQuarantines) = std::move(Decoded);
  return base::success();
}

} // namespace fulmar::controlstate
