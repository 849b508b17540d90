// Selects the targets of one service to probe and to use for a request.
//
// A target may become slow, full, cold, faulty or unresponsive between two
// requests. The entry therefore probes a few targets just before it sends a
// request, in its own data centre first, and uses the best one. Targets that
// fail, stall or respond more slowly than their peers receive a smaller share
// of the requests until they recover. Cold targets are used only if no warm one
// is left. In a data centre with hundreds of targets, each entry prefers a few
// of them to keep its connections in use; the choice differs between entries.

#ifndef FULMAR_PLACEMENT_SERVICEPLACEMENT_H
#define FULMAR_PLACEMENT_SERVICEPLACEMENT_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/random.h"
#include "fulmar/fleet/targetreport.h"
#include "fulmar/placement/announcedlimit.h"
#include "fulmar/placement/fleetratelimiter.h"
#include "fulmar/placement/loadreport.h"
#include "fulmar/placement/targetbackpressure.h"
#include "fulmar/routing/outlierdetector.h"
#include "fulmar/routing/servicetimes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmar::placement {

struct placement_options {
  std::string DataCentre;
  /// Requests per second that a cold target can handle.
  double WarmUpRate = 0;
  std::uint64_t Seed = 0;
};

/// Limits that a service shares with all others of its entry.
struct placement_limiters {
  /// For targets that are not warm yet.
  fleet_rate_limiter &Cold;
  /// For targets that announce a limit.
  fleet_rate_limiter &Announced;
};

/// Number of targets of a data centre that an entry prefers while they are
/// usable: enough for several rounds of probes, few enough to keep the
/// connections to them in use.
inline constexpr std::size_t PreferredTargets = 10;

/// Returns true if a request has been at its target for so long that the target
/// must be hanging or has silently dropped the request. Requests of routes with
/// a shorter timeout end before that and tell nothing about the target.
bool isHung(base::duration Elapsed, base::duration Objective);

/// Whose requests a question about future capacity concerns.
enum class request_sender : std::uint8_t { ThisEntry, AnyEntry };

/// Restricts which targets are candidates for a request.
struct candidate_query {
  /// Targets that were already probed for the request or received it.
  std::set<std::string> Excluded;
  std::size_t Count = 2;
  /// Also considers remote and cold targets before all local ones have been
  /// tried.
  bool WidenSearch = false;
  /// Adds targets of other data centres if too few local ones are left. Should
  /// be false for large bodies, whose transfer costs more than a better target
  /// gains.
  bool FillFromRemote = true;
  /// Target to probe first if it is usable; empty for none.
  std::string Hint;
};

class service_placement {
public:
  service_placement(placement_options Chosen, placement_limiters Limiters);

  void setWarmUpRate(double Rate) { Options.WarmUpRate = Rate; }
  /// Replaces the list of targets that accept new requests.
  void setTargets(const std::vector<fleet::target_report> &Reports,
                  base::instant Now);

  /// Returns up to Count targets to probe, the most promising first.
  std::vector<std::string> candidates(const candidate_query &Query,
                                      base::instant Now);

  /// Returns the number of targets that candidates() could return to a request
  /// that has not been tried anywhere.
  std::size_t candidateCount(base::instant Now);

  /// Records the start of a probe. A target that takes unusually long to answer
  /// is no candidate until the probe ends.
  void probeStarted(const std::string &Target, base::instant Now);
  void probeEnded(const std::string &Target);

  /// Records the load that a probe returned.
  void probeAnswered(const std::string &Target, const load_report &Load,
                     base::instant Now);
  /// Records that the target did not answer or refused the connection.
  void recordUnreachable(const std::string &Target, base::instant Now);
  /// This entry has regained contact to the targets, which it had lost at
  /// \p LostAt: forgets what their silence since then seemed to say of them.
  void contactRegained(base::instant LostAt);
  /// Avoids the target for \p Time without affecting its health statistics.
  void backOff(const std::string &Target, base::duration Time,
               base::instant Now);

  /// Applies the backpressure that \p Target signalled in a response. While it
  /// is leaving or paused, the target receives neither probes nor requests, not
  /// even as a last resort. Returns false if this was already known.
  bool recordBackpressure(const std::string &Target,
                          const target_backpressure &Backpressure,
                          base::instant Now);
  /// Records the rate limit that a response of \p Target named, or none.
  /// Returns true if the limit has changed.
  bool recordAnnouncedLimit(const std::string &Target,
                            std::optional<double> Rate, response_kind Kind,
                            base::instant Now);
  /// True if some target has a rate limit.
  [[nodiscard]] bool anyAnnouncedLimit() const { return AnyAnnouncedLimit; }
  /// Returns the earliest time, not before \p Now, at which some target accepts
  /// requests from \p Sender; empty if there are no targets or all of them are
  /// leaving.
  std::optional<base::instant> availableFrom(base::instant Now,
                                             request_sender Sender);

  /// Returns true if a request may be sent to \p Target now. Counts the request
  /// against the rate limits of a cold target and of one that announces one.
  bool admit(const std::string &Target, base::instant Now);
  void requestSent(const std::string &Target);
  void requestEnded(const std::string &Target, routing::attempt_quality Quality,
                    base::duration Elapsed, base::instant Now);

  /// Records that the target failed or aborted a request it had started. An
  /// entry sends too few requests to each target to wait for an error rate: a
  /// single failure already makes a faulty target far more likely, and targets
  /// that fail immediately look idle.
  void requestFailed(const std::string &Target, base::instant Now);
  /// Records that the target refused a request although it had reported free
  /// slots: it sheds load, or other entries filled the slots first. The target
  /// is backed off as after a failure, but for a shorter time.
  void requestRefused(const std::string &Target, base::instant Now);

  /// Returns the number of this entry's requests at the target.
  [[nodiscard]] unreported_requests inFlight(const std::string &Target) const;
  /// Returns null for a target that accepts no new requests.
  [[nodiscard]] const fleet::target_report *
  find(const std::string &Target) const;
  [[nodiscard]] std::size_t size() const { return Targets.size(); }
  /// Updates the health of all targets from their response times and error
  /// rates.
  void evaluate(base::instant Now) { Health.evaluate(Now); }
  [[nodiscard]] const routing::service_times &times() const { return Times; }
  /// False while targets answer probes without reporting their load.
  [[nodiscard]] bool reportsLoad() const {
    return ProbesWithoutLoad < MaxProbesWithoutLoad;
  }

private:
  struct target {
    fleet::target_report Report;
    /// Targets with lower ranks are preferred by this entry.
    std::uint64_t Rank = 0;
    unreported_requests InFlight = 0;
    base::instant ColdUntil{};
    /// ColdUntil comes from a report of unknown age: a newly started entry
    /// receives what each target reported when the target itself started.
    bool ColdByReport = false;
    base::instant BackOffUntil{};
    /// Probes in progress, and the start of the first of them.
    std::uint32_t ActiveProbes = 0;
    base::instant ProbingSince{};
    /// Consecutive probes that could not reach the target.
    std::uint32_t UnreachableCount = 0;
    /// Failed requests; halved by each successful one.
    std::uint32_t Failures = 0;
    base::instant FailureBackOffUntil{};
    base::instant LastFailedAt{};
    /// End of the pause that the target asked for.
    base::instant ClosedUntil{};
    bool Leaving = false;
    announced_limit Limit;
    /// When this entry may send one request beyond its share to find out
    /// whether the limit still holds: an entry without a share hears nothing of
    /// it.
    base::instant LimitTrialAt{};
  };
  /// Identifies one run of a target by its id and start time.
  using target_run = std::pair<std::string, std::int64_t>;
  enum class availability : std::uint8_t { Usable, Cold, BackedOff, Closed };

  /// In order of preference.
  enum class candidate_class : std::uint8_t { Local, Remote, Cold, BackedOff };
  static constexpr std::size_t CandidateClasses = 4;

  /// Empty if the target must not even be probed.
  std::optional<candidate_class> classOf(const std::string &Id,
                                         const target &State, bool WidenSearch,
                                         base::instant Now);
  [[nodiscard]] availability
  availabilityOf(const std::string &Id, const target &State, base::instant Now);
  /// True if a probe can find out whether the target is still cold.
  [[nodiscard]] bool mayBeWarm(const target &State) const {
    return State.ColdByReport && reportsLoad();
  }
  void updateAnyAnnouncedLimit();
  /// True if the target's announced limit permits a request of this entry now.
  bool limitPermits(const std::string &Id, const target &State,
                    base::instant Now);
  /// Like limitPermits(), and counts the request.
  bool takeFromLimit(const std::string &Id, target &State, base::instant Now);
  /// Random time until the next trial of a target with this limit.
  base::duration nextTrial(double Rate);
  /// Returns the earliest time at which \p Sender may send to the target.
  std::optional<base::instant> opensAt(const std::string &Id,
                                       const target &State, base::instant Now,
                                       request_sender Sender);
  /// Orders targets of equal availability: the preferred ones first, in random
  /// order.
  void arrangeByPreference(std::vector<const target *> &Group);
  /// Avoids the target for \p First, doubled by each further failure, unless
  /// too many targets are avoided already.
  void backOffAfterFailure(const std::string &Target, base::duration First,
                           base::instant Now);

  placement_options Options;
  placement_limiters Limiters;
  base::random_source Random;
  std::map<std::string, target> Targets;
  /// Runs that announced their shutdown, with the time of the announcement.
  /// Such a run stays unusable even if a later target list contains it again.
  std::map<target_run, base::instant> LeavingRuns;
  /// Some target in Targets has a rate limit.
  bool AnyAnnouncedLimit = false;
  routing::outlier_detector Health;
  routing::service_times Times;
  /// Consecutive probes that were answered without a load.
  std::uint32_t ProbesWithoutLoad = 0;
  static constexpr std::uint32_t MaxProbesWithoutLoad = 8;
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_SERVICEPLACEMENT_H
