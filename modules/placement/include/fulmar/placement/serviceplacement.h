// Which targets of one service to look at for a request, and which to use.
//
// Answers loads in which a target turns slow, full, cold, faulty or silent
// between two requests: a request looks at a few targets just before it is
// sent, in its own data centre first, and takes the best. Targets that fail,
// stall or answer slower than their peers lose their share and earn it back;
// cold ones are used only where no warm one is left. Where a data centre has
// hundreds of targets, an entry prefers a few of them, so that the connections
// to them stay in use; which ones differs from entry to entry.

#ifndef FULMAR_PLACEMENT_SERVICEPLACEMENT_H
#define FULMAR_PLACEMENT_SERVICEPLACEMENT_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/random.h"
#include "fulmar/fleet/targetreport.h"
#include "fulmar/placement/coldlimiter.h"
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
  /// Requests a second that a cold target bears.
  double WarmUpRate = 0;
  std::uint64_t Seed = 0;
};

/// Targets of a data centre that an entry prefers while they are fit: enough
/// for several rounds of looks, few enough that their connections stay in use.
inline constexpr std::size_t PreferredTargets = 10;

/// A request that has been at its target for so long is taken to be lost there:
/// the target hangs, or dropped it without a word. Routes whose time is shorter
/// say nothing about their targets.
bool isHung(base::duration Elapsed, base::duration Objective);

/// Which targets a request may be given.
struct candidate_query {
  /// Targets that the request has looked at or been sent to.
  std::set<std::string> Excluded;
  std::size_t Count = 2;
  /// Also targets of other data centres, and cold ones, before those of the own
  /// are used up.
  bool WidenSearch = false;
  /// Targets of other data centres where too few of the own are left; not for
  /// bodies that cost more to carry than a better target gains.
  bool FillFromRemote = true;
  /// To be looked at first where it is fit; empty for none.
  std::string Hint;
};

class service_placement {
public:
  service_placement(placement_options Chosen, cold_limiter &Limiter);

  void setWarmUpRate(double Rate) { Options.WarmUpRate = Rate; }
  /// The targets that take new work; replaces the earlier list.
  void setTargets(const std::vector<fleet::target_report> &Reports,
                  base::instant Now);

  /// Up to Count targets to look at, the best guesses first.
  std::vector<std::string> candidates(const candidate_query &Query,
                                      base::instant Now);

  /// A look at a target begins. Until it ends, the target is no candidate if it
  /// takes longer than targets usually do.
  void probeStarted(const std::string &Target, base::instant Now);
  void probeEnded(const std::string &Target);

  /// What a look at a target found.
  void probeAnswered(const std::string &Target, const load_report &Load,
                     base::instant Now);
  /// The target did not answer, or refused the connection.
  void recordUnreachable(const std::string &Target, base::instant Now);
  /// Stands back for a while without a judgement of its health.
  void backOff(const std::string &Target, base::duration Time,
               base::instant Now);

  /// What \p Target said in an answer. It gets nothing while it is leaving or
  /// wants nothing, neither looks nor as a last resort. Returns false where
  /// that was known.
  bool recordBackpressure(const std::string &Target,
                          const target_backpressure &Backpressure,
                          base::instant Now);
  /// When some target takes work: \p Now or later; empty where all of them are
  /// leaving, or there are none.
  [[nodiscard]] std::optional<base::instant>
  availableFrom(base::instant Now) const;

  /// True when a request may be sent to \p Target now, cold or not; counts it.
  bool admit(const std::string &Target, base::instant Now);
  void requestSent(const std::string &Target);
  void requestEnded(const std::string &Target, routing::attempt_quality Quality,
                    base::duration Elapsed, base::instant Now);

  /// The target failed a request that it had run, or broke it off. Entries see
  /// too little of each target to wait for an error rate: one failure is far
  /// more likely of a faulty target, and those that fail at once look idle.
  void requestFailed(const std::string &Target, base::instant Now);
  /// The target turned a request away although it had room: it sheds load, or
  /// others came first. Left alone like one that failed, but for less long.
  void requestRefused(const std::string &Target, base::instant Now);

  /// Requests of this entry at the target.
  [[nodiscard]] unreported_requests inFlight(const std::string &Target) const;
  /// Null for a target that takes no new work.
  [[nodiscard]] const fleet::target_report *
  find(const std::string &Target) const;
  [[nodiscard]] std::size_t size() const { return Targets.size(); }
  /// Compares the targets' times and error rates.
  void evaluate(base::instant Now) { Health.evaluate(Now); }
  [[nodiscard]] const routing::service_times &times() const { return Times; }
  /// False while targets answer looks without their load.
  [[nodiscard]] bool reportsLoad() const {
    return ProbesWithoutLoad < MaxProbesWithoutLoad;
  }

private:
  struct target {
    fleet::target_report Report;
    /// Lower ranks are nearer to this entry.
    std::uint64_t Rank = 0;
    unreported_requests InFlight = 0;
    base::instant ColdUntil{};
    /// ColdUntil comes from a report, whose age is not known: an entry that has
    /// just started is told what each target reported at its own start.
    bool ColdByReport = false;
    base::instant BackOffUntil{};
    /// Looks that are under way, and when the first of them began.
    std::uint32_t ActiveProbes = 0;
    base::instant ProbingSince{};
    /// Looks in a row that found nobody.
    std::uint32_t UnreachableCount = 0;
    /// Failed requests, halved by each one that ends well.
    std::uint32_t Failures = 0;
    base::instant FailureBackOffUntil{};
    /// Until when the target wants nothing.
    base::instant ClosedUntil{};
    bool Leaving = false;
  };
  /// One run of a target: its id and start.
  using target_run = std::pair<std::string, std::int64_t>;
  enum class availability : std::uint8_t { Usable, Cold, BackedOff, Closed };

  [[nodiscard]] availability
  availabilityOf(const std::string &Id, const target &State, base::instant Now);
  /// A look would tell whether the target is still cold.
  [[nodiscard]] bool mayBeWarm(const target &State) const {
    return State.ColdByReport && reportsLoad();
  }
  /// Orders targets of equal standing: the nearest first, drawn among those.
  void arrangeByPreference(std::vector<const target *> &Group);
  /// A pause of \p First, doubled by each further failure, unless too many
  /// targets pause already.
  void backOffAfterFailure(const std::string &Target, base::duration First,
                           base::instant Now);

  placement_options Options;
  cold_limiter &Cold;
  base::random_source Random;
  std::map<std::string, target> Targets;
  /// Runs that said they leave, and when: a run that is listed again is still
  /// leaving.
  std::map<target_run, base::instant> LeavingRuns;
  routing::outlier_detector Health;
  routing::service_times Times;
  /// Looks in a row that were answered without a load.
  std::uint32_t ProbesWithoutLoad = 0;
  static constexpr std::uint32_t MaxProbesWithoutLoad = 8;
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_SERVICEPLACEMENT_H
