// Counting of the crashes seen by this instance, and the local quarantine.

#include "fulmar/routing/crashwatch.h"

#include <algorithm>

namespace fulmar::routing {

namespace {

/// Number of target processes that a request may crash before this instance
/// refuses it on its own evidence.
constexpr std::size_t CrashesToQuarantine = 2;
constexpr std::size_t MaxCrashRecords = 1024;
/// Covers the time until the control instances publish their decision.
constexpr base::duration LocalQuarantineTime = std::chrono::seconds(60);

} // namespace

void crash_watch::answered(std::uint64_t Fingerprint, base::instant Now) {
  Detector.answered(Fingerprint, Now);
  CrashedProcesses.erase(Fingerprint);
  LocalQuarantine.withdraw(Fingerprint);
  std::erase_if(Reports, [Fingerprint](const crash_report &Report) {
    return Report.Fingerprint == Fingerprint;
  });
}

std::vector<std::uint64_t>
crash_watch::unreachable(const base::target_id &Target, base::instant Now) {
  Detector.unreachable(Target, Now);
  return countConfirmedCrashes(Now);
}

std::vector<std::uint64_t>
crash_watch::incarnationSeen(const base::target_id &Target,
                             const std::string &Incarnation,
                             base::instant Now) {
  Detector.incarnationSeen(Target, Incarnation, Now);
  return countConfirmedCrashes(Now);
}

void crash_watch::withdraw(std::uint64_t Fingerprint) {
  PublishedQuarantine.withdraw(Fingerprint);
  LocalQuarantine.withdraw(Fingerprint);
  CrashedProcesses.erase(Fingerprint);
}

std::optional<base::duration>
crash_watch::quarantined(std::uint64_t Fingerprint, base::instant Now) const {
  return std::max(PublishedQuarantine.remaining(Fingerprint, Now),
                  LocalQuarantine.remaining(Fingerprint, Now));
}

void crash_watch::expire(base::instant Now) {
  Detector.removeExpired(Now);
  PublishedQuarantine.expire(Now);
  LocalQuarantine.expire(Now);
}

std::vector<std::uint64_t>
crash_watch::countConfirmedCrashes(base::instant Now) {
  std::vector<std::uint64_t> Refused;
  for (crash_report &Report : Detector.takeReports()) {
    if (CrashedProcesses.size() >= MaxCrashRecords)
      CrashedProcesses.clear();
    auto &Runs = CrashedProcesses[Report.Fingerprint];
    Runs.emplace(Report.Target, Report.Incarnation);
    if (Runs.size() >= CrashesToQuarantine) {
      LocalQuarantine.add(Report.Fingerprint, LocalQuarantineTime, Now);
      Refused.push_back(Report.Fingerprint);
    }
    if (Reports.size() < MaxCrashRecords)
      Reports.push_back(std::move(Report));
  }
  return Refused;
}

} // namespace fulmar::routing
