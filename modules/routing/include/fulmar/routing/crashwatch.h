// Tracks the requests that crash targets, as known to one instance: its own
// evidence, the local quarantine that follows from it, and the quarantines
// published by the control instances. The local quarantine takes effect
// immediately, even if no control instance can be reached.

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
  /// See crash_detector. Also discards the crashes recorded for the request
  /// and its local quarantine; a published quarantine stays.
  void answered(std::uint64_t Fingerprint, base::instant Now);
  suspicion broken(const crash_report &Suspect, base::instant Now) {
    return Detector.broken(Suspect, Now);
  }
  void probeAnswered(const base::target_id &Target, base::instant AskedAt) {
    Detector.probeAnswered(Target, AskedAt);
  }
  /// unreachable() and incarnationSeen() return the fingerprints that are
  /// quarantined locally as a result.
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

  /// Adds a quarantine published by the control instances.
  void publish(std::uint64_t Fingerprint,
               std::chrono::system_clock::time_point Until,
               std::chrono::system_clock::time_point WallNow,
               base::instant Now) {
    PublishedQuarantine.publish(Fingerprint, Until, WallNow, Now);
  }
  /// Ends a published quarantine; also ends the local one and discards the
  /// crashes recorded for the request.
  void withdraw(std::uint64_t Fingerprint);
  /// Time for which the request is still refused; empty if it may be sent.
  [[nodiscard]] std::optional<base::duration>
  quarantined(std::uint64_t Fingerprint, base::instant Now) const;

  /// Removes expired suspicions and quarantines.
  void expire(base::instant Now);
  /// Returns the crashes confirmed since the last call, to be reported to the
  /// control instances.
  std::vector<crash_report> takeReports() { return std::exchange(Reports, {}); }
  std::vector<crash_report> takeUnconfirmed() {
    return Detector.takeUnconfirmed();
  }

private:
  std::vector<std::uint64_t> countConfirmedCrashes(base::instant Now);

  crash_detector Detector;
  quarantine PublishedQuarantine;
  /// Based on the crashes that this instance has seen itself.
  quarantine LocalQuarantine;
  /// Confirmed crashes that were not taken yet; limited in number.
  std::vector<crash_report> Reports;
  /// Target processes (target and incarnation) that each request has crashed;
  /// limited in number.
  std::unordered_map<std::uint64_t,
                     std::set<std::pair<base::target_id, std::string>>>
      CrashedProcesses;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_CRASHWATCH_H
