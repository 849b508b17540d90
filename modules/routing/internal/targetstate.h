// What an entry knows of one target of a service, apart from its health
// relative to its peers.

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
  /// Takes a new candidate over. An empty one (Granted of 0) withdraws the
  /// permission to send.
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

  /// Requests that may be in flight now; never above the grant.
  [[nodiscard]] std::uint32_t limit(base::instant Now) const;
  /// Reported load, halved for each half-life since the report.
  [[nodiscard]] double loadHint(base::instant Now) const;
  /// Age of the oldest request in flight; 0 when there is none.
  [[nodiscard]] base::duration oldestAge(base::instant Now) const;

  void start(base::instant Now);
  void finish(const std::string &Incarnation, base::instant Started);

  /// Sends nothing to this process until the time given.
  void suspendUntil(base::instant Time) { SuspendedUntil = Time; }
  /// Sends nothing while the candidate has the incarnation \p Old.
  void rejectIncarnation(const std::string &Old) { RejectedIncarnation = Old; }
  /// Halves the own limit after a refusal; good answers raise it again.
  void decreaseAdaptiveLimit();
  void increaseAdaptiveLimit();

  /// Health, owned by the service's detector.
  const target_health *Health = nullptr;
  /// Position in the order of nearness; 0 is the own data centre.
  std::size_t Tier = 0;

private:
  candidate Candidate;
  base::instant LastListed{};
  base::instant ReportTime{};
  /// Start times of the requests in flight, oldest first.
  std::vector<base::instant> Started;
  /// Sums to the size of Started.
  std::map<std::string, std::uint32_t> ByIncarnation;
  base::instant SuspendedUntil{};
  std::string RejectedIncarnation;
  /// Own bound below the grant.
  double AdaptiveLimit = std::numeric_limits<double>::infinity();
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_TARGETSTATE_H
