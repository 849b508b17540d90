// A small fleet in one process: control instances, entries, and targets that
// crash on requests whose path says so and come back with another id.

#ifndef FULMAR_TESTS_WHOLEFLEET_SMALLFLEET_H
#define FULMAR_TESTS_WHOLEFLEET_SMALLFLEET_H

#include "fulmar/gateway/gateway.h"
#include "tests/gatewayfixture.h"
#include "tests/testcluster.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmar::wholefleet {

struct fleet_options {
  int Controls = 3;
  int Entries = 10;
  int Targets = 14;
  /// Time for which a crashed target is away.
  base::duration DownTime = std::chrono::milliseconds(1'200);
  /// Time that a target needs for a request.
  base::duration Work = std::chrono::milliseconds(120);
};

/// Starts everything; throws nothing away before the end of the test.
class small_fleet {
public:
  explicit small_fleet(const fleet_options &Chosen);

  /// Sends a request through entry \p Entry and does not wait for the answer.
  void send(int Entry, const std::string &Method, const std::string &Path);
  /// Lets \p Time pass.
  void run(base::duration Time);
  /// The target names a limit of \p Rate requests per second in all further
  /// responses; none if it is empty.
  void announceLimit(int Target, const std::string &Rate);
  /// When requests arrived at the target, in order.
  [[nodiscard]] const std::vector<base::instant> &arrivals(int Target) const;
  /// Ends one target for reasons of its own.
  void crashTarget(int Number);

  [[nodiscard]] base::instant now() { return Cluster.loop().now(); }
  /// When targets were sent requests that crash them, in order.
  [[nodiscard]] const std::vector<base::instant> &poisonArrivals() const {
    return PoisonArrivals;
  }
  /// Answers so far that begin with \p Status, to paths with \p Prefix.
  [[nodiscard]] int answers(const std::string &Status,
                            const std::string &Prefix) const;
  /// Answers that name the quarantine, by path.
  [[nodiscard]] std::vector<std::string> quarantinedPaths() const;
  [[nodiscard]] int entries() const { return Options.Entries; }
  [[nodiscard]] int targets() const { return Options.Targets; }
  controlnode::test_cluster &cluster() { return Cluster; }

private:
  struct entry {
    entry(small_fleet &Owner, int Number);

    telemetry::metrics Metrics;
    gateway::gateway Gateway;
    gateway::fleet_feed Feed;
  };
  struct target_place {
    std::unique_ptr<gateway::scripted_target> Target;
    bool Up = false;
    int Runs = 0;
    std::string RateLimit;
    std::vector<base::instant> Arrivals;
  };
  struct call {
    std::string Path;
    std::unique_ptr<gateway::test_caller> Caller;
  };

  void startTarget(int Number);
  gateway::target_action work(int Number,
                              const gateway::received_request &Seen);
  void report(int Number);
  void tick();

  fleet_options Options;
  controlnode::test_cluster Cluster;
  std::vector<std::unique_ptr<entry>> Entries;
  std::vector<target_place> Places;
  /// Targets that ended; kept because their connections may still be read.
  std::vector<std::unique_ptr<gateway::scripted_target>> Ended;
  std::vector<std::unique_ptr<eventloop::timer>> Timers;
  eventloop::timer Reporter;
  std::vector<call> Calls;
  std::vector<base::instant> PoisonArrivals;
};

} // namespace fulmar::wholefleet

#endif // FULMAR_TESTS_WHOLEFLEET_SMALLFLEET_H
