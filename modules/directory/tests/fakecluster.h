// Simulation of entries, targets and a control instance on a network that
// loses, delays, reorders and duplicates messages. Runs in one thread with
// simulated time.

#ifndef FULMAR_DIRECTORY_TESTS_FAKECLUSTER_H
#define FULMAR_DIRECTORY_TESTS_FAKECLUSTER_H

#include "fulmar/directory/freshness.h"
#include "fulmar/directory/ownership.h"
#include "fulmar/directory/shareview.h"
#include "fulmar/directory/targetowner.h"
#include "fulmar/publication/publisheditems.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fulmar::directory {

using std::chrono::milliseconds;

struct cluster_options {
  std::uint64_t Seed = 1;
  int Entries = 5;
  int Targets = 3;
  std::uint32_t Slots = 4;
  std::uint32_t ColdCapacity = 1;
  /// Percentage of messages that are lost or duplicated.
  unsigned LossPercent = 5;
  unsigned DuplicationPercent = 5;
  base::duration MaxDelay = milliseconds(60);
  base::duration MaxService = milliseconds(1500);
  service_policy Policy{.ColdRamp = milliseconds(2000)};
  permission_policy Permission;
};

/// A target that counts its own requests in flight.
struct fake_target {
  announcement Announced;
  bool Alive = true;
  std::uint32_t InFlight = 0;
  /// The acting owner whose record has the target's current state, and since
  /// when.
  std::string KnownByOwner;
  base::instant KnownSince = base::instant::max();
  /// Last time at which a new request arrived.
  base::instant LastArrival{};
  std::vector<std::pair<base::instant, base::duration>> Probes;
  base::instant NextAnnouncement{};
};

struct running_request {
  int Target = 0;
  std::string BelievedIncarnation;
  std::string ActualIncarnation;
  base::instant End{};
};

/// One entry process.
struct fake_entry {
  base::instance_id Id;
  std::string Incarnation;
  publication::published_items Items;
  freshness Freshness;
  std::unique_ptr<ownership> Ownership;
  std::unique_ptr<target_owner> Owner;
  std::unique_ptr<share_view> Shares;
  std::vector<running_request> Running;
  std::uint32_t Wanted = 4;
  base::instant FrozenUntil{};
  /// Disconnected from all other processes until this time.
  base::instant DisconnectedUntil{};
  base::instant NextSync{};
  base::instant NextTick{};
  std::uint64_t Served = 0;

  explicit fake_entry(base::duration Permission) : Freshness(Permission) {}
};

class fake_cluster {
public:
  explicit fake_cluster(const cluster_options &Given);

  /// Runs for \p Time in steps and calls Check after each step.
  void run(base::duration Time);
  std::function<void()> Check = [] {};

  void restartEntry(int Index);
  void setMember(int Index, bool Present);
  void setDataCentre(const std::string &Name, bool In);
  /// Restarts the target's process at the same address, without an
  /// announcement.
  void restartTarget(int Index);
  void setState(int Index, target_state State);

  [[nodiscard]] base::instant now() const { return Now; }
  [[nodiscard]] std::uint32_t capacityOf(int Target) const;
  [[nodiscard]] bool reachable(int Entry) const;
  unsigned percent() { return std::uniform_int_distribution(0U, 99U)(Random); }
  int below(int Limit) {
    return std::uniform_int_distribution(0, Limit - 1)(Random);
  }

  cluster_options Options;
  std::vector<std::unique_ptr<fake_entry>> Entries;
  std::vector<fake_target> Targets;
  /// The first violated guarantee; empty if there is none.
  std::string Violation;
  std::uint64_t Arrivals = 0;

private:
  void send(int From, int To, std::function<void()> Deliver);
  void deliverDue();
  void publish(const std::string &Key, const std::string &Value);
  void startProcess(int Index);
  void syncWithControl(int Index);
  void onControlAnswer(int Index, const publication::changes &Changes,
                       base::instant SentAt, base::duration Age);
  void syncShares(int Index, int To);
  [[nodiscard]] router_counters countersOf(const fake_entry &Entry) const;
  [[nodiscard]] bool ownsAny(const fake_entry &Entry,
                             const base::instance_id &Owner) const;
  void announce(int Index);
  void finishRequests(int Index);
  void startRequests(int Index);
  void arrive(fake_entry &Entry, int Target,
              const std::string &BelievedIncarnation);
  void probe(int Index);
  /// Updates which owner knows each target's state, and checks that at most one
  /// owner acts for it.
  void checkOwners();
  [[nodiscard]] bool knows(const fake_entry &Entry,
                           const announcement &Announced) const;
  [[nodiscard]] int indexOf(const base::instance_id &Id) const;

  static constexpr int ControlIndex = -1;
  std::mt19937_64 Random;
  base::instant Now{std::chrono::seconds(1000)};
  publication::published_items Control;
  publication::serial Serial = 0;
  std::uint64_t Incarnations = 0;
  std::multimap<base::instant, std::function<void()>> Network;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_TESTS_FAKECLUSTER_H
