// State of one target of a service as seen by an entry, except for its health,
// which the outlier detector holds.

#ifndef FULMAR_ROUTING_TARGETSTATE_H
#define FULMAR_ROUTING_TARGETSTATE_H

#include "fulmar/routing/outlierdetector.h"
#include "fulmar/routing/routingtypes.h"

#include <cstdint>
#include <limits>
#include <map>
#include <vector>

namespace fulmar::routing {

class target_state {
public:
  /// Updates the target. With Granted of 0 no more requests are sent to it.
  void setCandidate(const candidate &Changed, base::instant Now);
  void withdraw() { Candidate.Granted = 0; }
  [[nodiscard]] base::instant lastListed() const { return LastListed; }

  [[nodiscard]] const candidate &current() const { return Candidate; }
  [[nodiscard]] std::uint32_t inFlight() const {
    return static_cast<std::uint32_t>(Started.size());
  }
  [[nodiscard]] const std::map<std::string, std::uint32_t> &
  inFlightByIncarnation() const {
    return ByIncarnation;
  }

  /// Number of requests that may be in flight now; never above the grant.
  [[nodiscard]] std::uint32_t limit(base::instant Now) const;
  /// Reported load, halved for each half-life since the report.
  [[nodiscard]] double loadHint(base::instant Now) const;
  /// Age of the oldest request in flight; 0 if there is none.
  [[nodiscard]] base::duration oldestAge(base::instant Now) const;

  void start(base::instant Now);
  void finish(const std::string &Incarnation, base::instant Started);

  /// Sets the limit to 0 until \p Time, unless the incarnation changes before.
  void suspendUntil(base::instant Time) { SuspendedUntil = Time; }
  /// Sets the limit to 0 while the candidate has the incarnation \p Old.
  void rejectIncarnation(const std::string &Old) { RejectedIncarnation = Old; }
  /// Halves the adaptive limit after a refusal. Successes raise it again
  /// through increaseAdaptiveLimit().
  void decreaseAdaptiveLimit();
  void increaseAdaptiveLimit();

  /// Owned by the outlier detector of the service.
  const target_health *Health = nullptr;
  /// Rank of the target's data centre by nearness; 0 is the own data centre.
  std::size_t Tier = 0;

private:
  candidate Candidate;
  base::instant LastListed{};
  base::instant ReportTime{};
  /// Start times of the requests in flight, oldest first.
  std::vector<base::instant> Started;
  /// Requests in flight by incarnation. Their sum is the size of Started.
  std::map<std::string, std::uint32_t> ByIncarnation;
  base::instant SuspendedUntil{};
  std::string RejectedIncarnation;
  /// Additional limit after refusals; infinite if the grant alone applies.
  double AdaptiveLimit = std::numeric_limits<double>::infinity();
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_TARGETSTATE_H
