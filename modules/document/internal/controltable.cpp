// The keys of policy.control.

#include "sectiontables.h"

namespace fulmar::document {

namespace {

using policy = control_policy;

constexpr std::int64_t MinuteMs = 60'000;
constexpr std::int64_t DayMs = 86'400'000;

key_spec milliseconds(const char *Key, std::int64_t Minimum,
                      std::int64_t Maximum, const char *Help) {
  return {.Key = Key,
          .Type = key_type::Milliseconds,
          .Minimum = Minimum,
          .Maximum = Maximum,
          .Help = Help};
}

key_spec integer(const char *Key, std::int64_t Minimum, std::int64_t Maximum,
                 const char *Help) {
  return {.Key = Key,
          .Type = key_type::Integer,
          .Minimum = Minimum,
          .Maximum = Maximum,
          .Help = Help};
}

binding_table<policy> makeTable() {
  return {
      {ownerSpec(), &policy::Owner},
      {milliseconds("member_lease_ms", 1000, 10 * MinuteMs,
                    "silence after which a member has expired"),
       &policy::MemberLease},
      {milliseconds("entries_answer_ms", 500, MinuteMs,
                    "how long callers keep an answer about entries"),
       &policy::EntriesAnswer},
      {milliseconds("claim_retention_ms", MinuteMs, 30 * DayMs,
                    "how long a settled claim is kept"),
       &policy::ClaimRetention},
      {integer("claim_max_count", 100, 10'000'000, "claims kept at most"),
       &policy::ClaimMaxCount},
      {integer("claim_max_kb", 64, 16'777'216, "memory of claims at most"),
       &policy::ClaimMaxKilobytes},
      {integer("claim_max_answer_kb", 0, 1024, "largest answer recorded"),
       &policy::ClaimMaxAnswerKilobytes},
      {milliseconds("quarantine_ms", 1000, DayMs,
                    "how long a crashing request is refused"),
       &policy::Quarantine},
      {milliseconds("crash_window_ms", 1000, DayMs,
                    "time within which crashes are counted together"),
       &policy::CrashWindow},
      {integer("sick_target_requests", 2, 1000,
               "crashes, on as many different requests, that mark a target as "
               "sick"),
       &policy::SickTargetRequests},
  };
}

} // namespace

const binding_table<control_policy> &controlTable() {
  static const binding_table<policy> Table = makeTable();
  return Table;
}

} // namespace fulmar::document
