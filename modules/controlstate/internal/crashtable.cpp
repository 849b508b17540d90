// Counts crashes by request and by target.

#include "fulmar/controlstate/crashtable.h"

#include "fulmar/controlstate/commandpacking.h"

#include <algorithm>
#include <set>

namespace fulmar::controlstate {

crash_reply crash_table::report(const crash_command &Crash, std::int64_t NowMs,
                                const crash_rules &Rules) {
  (void)advance(NowMs, Rules);
  if (!contains(Crash)) {
    if (Crashes.size() >= MaxCrashReports)
      Crashes.pop_front();
    Crashes.push_back({.Command = Crash, .AtMs = NowMs});
  }
  if (isSick(Crash.Target, Rules))
    discount(Crash.Target);
  const std::size_t Count = crashesOf(Crash.Fingerprint);
  if (Count >= QuarantineCrashes)
    Quarantines.try_emplace(Crash.Fingerprint, NowMs + Rules.QuarantineMs);
  return {.Crashes = Count,
          .Quarantined = Quarantines.contains(Crash.Fingerprint)};
}

bool crash_table::advance(std::int64_t NowMs, const crash_rules &Rules) {
  while (!Crashes.empty() && Crashes.front().AtMs + Rules.WindowMs <= NowMs)
    Crashes.pop_front();
  return std::erase_if(Quarantines, [&](const auto &Entry) {
           return Entry.second <= NowMs;
         }) > 0;
}

bool crash_table::contains(const crash_command &Crash) const {
  return std::any_of(Crashes.begin(), Crashes.end(), [&](const crash &Known) {
    return Known.Command == Crash;
  });
}

bool crash_table::isSick(const std::string &Target,
                         const crash_rules &Rules) const {
  std::set<std::string> Requests;
  for (const crash &Crash : Crashes) {
    if (Crash.Command.Target == Target)
      Requests.insert(Crash.Command.Fingerprint);
  }
  return Requests.size() >= Rules.SickTargetRequests;
}

std::size_t crash_table::crashesOf(const std::string &Fingerprint) const {
  std::set<std::pair<std::string, std::string>> Runs;
  for (const crash &Crash : Crashes) {
    if (Crash.Command.Fingerprint == Fingerprint && !Crash.Discounted)
      Runs.insert({Crash.Command.Target, Crash.Command.Incarnation});
  }
  return Runs.size();
}

void crash_table::discount(const std::string &Target) {
  std::set<std::string> Weakened;
  for (crash &Crash : Crashes) {
    if (Crash.Command.Target != Target || Crash.Discounted)
      continue;
    Crash.Discounted = true;
    Weakened.insert(Crash.Command.Fingerprint);
  }
  std::erase_if(Quarantines, [&](const auto &Entry) {
    return Weakened.contains(Entry.first) &&
           crashesOf(Entry.first) < QuarantineCrashes;
  });
}

std::string crash_table::encode() const {
  return claims::packValue(std::make_tuple(Crashes, Quarantines));
}

base::result<void> crash_table::decode(std::string_view Encoded) {
  using tables =
      std::tuple<std::deque<crash>, std::map<std::string, std::int64_t>>;
  BOOST_OUTCOME_TRY(Decoded, claims::unpackValue<tables>(Encoded));
  std::tie(Crashes, Quarantines) = std::move(Decoded);
  return base::success();
}

} // namespace fulmar::controlstate
