// What a stand-in target knows of itself: its cold start, its requests in
// flight, the counts that tests compare with the system's promises.

#ifndef FULMAR_TARGET_TARGETSTATE_H
#define FULMAR_TARGET_TARGETSTATE_H

#include "fulmar/base/time.h"
#include "targetoptions.h"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace fulmar::target {

/// Thread-safe.
class target_state {
public:
  explicit target_state(target_options Settings);

  /// Counts a request that arrives. False: over the limit, so the request is
  /// refused and not started.
  bool begin();
  void end();
  /// Counts a run of the request that carries \p Key and \p Tag.
  void countRun(const std::string &Key, const std::string &Tag);
  void countCancelled();
  void countProbe();

  void drain();
  /// Turns cold; under a new incarnation when \p Restarted.
  void turnCold(bool Restarted);
  void change(const target_behaviour &Behaviour);

  [[nodiscard]] target_behaviour behaviour() const;
  [[nodiscard]] std::uint32_t inFlight() const;
  [[nodiscard]] std::string incarnation() const;
  [[nodiscard]] double reportedLoad() const;
  [[nodiscard]] Poco::JSON::Object announcement(const std::string &Address);
  [[nodiscard]] Poco::JSON::Object counts() const;
  [[nodiscard]] const target_options &options() const { return Options; }

private:
  [[nodiscard]] bool coldLocked() const;
  [[nodiscard]] double reportedLoadLocked() const;
  void noteLoadLocked();

  const target_options Options;
  const base::steady_clock Clock;
  mutable std::mutex Mutex;
  target_behaviour Behaviour;
  base::instant ColdSince;
  std::string Incarnation;
  std::uint32_t Restarts = 0;
  bool Draining = false;
  std::uint32_t InFlight = 0;
  std::uint32_t PeakCold = 0;
  std::uint32_t PeakWarm = 0;
  std::uint64_t Arrived = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t Probes = 0;
  std::uint64_t ArrivedWhileDraining = 0;
  std::map<std::string, std::uint64_t> RunsByKey;
  std::map<std::string, std::uint64_t> RunsByTag;
  // Loads of the recent past in time order, for lagging reports.
  std::deque<std::pair<base::instant, double>> Loads;
};

} // namespace fulmar::target

#endif // FULMAR_TARGET_TARGETSTATE_H
