// What one instance knows of requests that crash targets: its own evidence, the
// requests that it refuses because of it, and those that the control instances
// have put in quarantine. Its own evidence binds it at once, whether or not a
// control instance can be reached.

#ifndef FULMAR_ROUTING_CRASHWATCH_H
#define FULMAR_ROUTING_CRASHWATCH_H

#include "fulmar/routing/crashdetector.h"
#include "fulmar/routing/quarantine.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fulmar::routing {

class crash_watch {
public:
  /// See crash_detector. Drops what this instance holds against the request.
  void answered(std::uint64_t Fingerprint, base::instant Now);
  suspicion broken(const crash_report &Suspect, base::instant Now) {
    return Detector.broken(Suspect, Now);
  }
  void probeAnswered(const base::target_id &Target, base::instant AskedAt) {
    Detector.probeAnswered(Target, AskedAt);
  }
  /// These two return the requests that are refused from now on.
  std::vector<std::uint64_t> unreachable(const base::target_id &Target,
                                         base::instant Now);
  std::vector<std::uint64_t> incarnationSeen(const base::target_id &Target,
                                             const std::string &Incarnation,
                                             base::instant Now);
  [[nodiscard]] std::optional<base::instant>
  lastAnswerTime(std::uint64_t Fingerprint) const {
    return Detector.lastAnswerTime(Fingerprint);
  }
  std::vector<base::target_id> takeDueProbes(base::instant Now) {
    return Detector.takeDueProbes(Now);
  }
  [[nodiscard]] bool suspects(const base::target_id &Target) const {
    return Detector.suspects(Target);
  }

  /// A published quarantine, and its end; see quarantine.
  void publish(std::uint64_t Fingerprint,
               std::chrono::system_clock::time_point Until,
               std::chrono::system_clock::time_point WallNow,
               base::instant Now) {
    PublishedQuarantine.publish(Fingerprint, Until, WallNow, Now);
  }
  void withdraw(std::uint64_t Fingerprint);
  /// Time left for which the request is refused; empty when it may run.
  [[nodiscard]] std::optional<base::duration>
  quarantined(std::uint64_t Fingerprint, base::instant Now) const;

  /// Forgets what has ended.
  void expire(base::instant Now);
  /// Returns and forgets the crashes confirmed since the last call, to be
  /// reported to the control instances.
  std::vector<crash_report> takeReports() { return std::exchange(Reports, {}); }
  std::vector<crash_report> takeUnconfirmed() {
    return Detector.takeUnconfirmed();
  }

private:
  std::vector<std::uint64_t> countConfirmedCrashes(base::instant Now);

  crash_detector Detector;
  quarantine PublishedQuarantine;
  /// Rests on this instance's own evidence.
  quarantine LocalQuarantine;
  /// Confirmed and not yet taken; bounded.
  std::vector<crash_report> Reports;
  /// Runs of targets that each request crashed, by target and incarnation;
  /// bounded.
  std::unordered_map<std::uint64_t,
                     std::set<std::pair<base::target_id, std::string>>>
      CrashedProcesses;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_CRASHWATCH_H
