#include "fulmar/placement/serviceplacement.h"

#include "fulmar/base/rendezvous.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <array>

namespace fulmar::placement {

namespace {

/// Back-off after a target was unreachable; doubled by each further attempt
/// that cannot reach it.
constexpr base::duration FirstUnreachablePause = std::chrono::milliseconds(200);
/// Maximum back-off; ensures that a target that returns is found within two
/// seconds.
constexpr base::duration MaxUnreachablePause = std::chrono::milliseconds(1'600);
constexpr std::uint32_t MaxDoublings = 3;
/// Back-off after a failed request; doubled by each further failure. Faults of
/// targets last for seconds.
constexpr base::duration FailurePause = std::chrono::seconds(2);
/// Back-off after a refused request: about the time in which a queue drains.
constexpr base::duration RefusalPause = std::chrono::milliseconds(500);
/// A request counts as hung after this multiple of its objective.
constexpr int HungObjectives = 2;
/// Maximum fraction of targets that are backed off after failures. If more
/// targets fail, the requests themselves are the more likely cause.
constexpr double MaxFaultyShare = 0.25;
/// Maximum transfer delay of a report that announces a cold start.
constexpr base::duration ReportDelayMargin = std::chrono::milliseconds(100);

/// A target that has not answered a probe within this time may be stalled;
/// several times the usual duration of a probe.
constexpr base::duration StalledProbeTime = std::chrono::milliseconds(25);

/// Maximum fraction by which a pause requested by a target is randomly
/// extended, so that entries that received the same pause do not return
/// together.
constexpr double PauseJitter = 0.25;
/// How long runs that announced their shutdown are remembered; they have ended
/// long before that.
constexpr base::duration LeavingRetention = std::chrono::minutes(10);

constexpr routing::outlier_options HealthOptions{
    .MaxEjectedShare = 0.5,
    .BaseEjection = std::chrono::seconds(1),
    .MaxEjection = std::chrono::seconds(8),
    .InitialPickProbability = 0.25};

base::target_id idOf(const std::string &Id) { return base::target_id(Id); }

} // namespace

service_placement::service_placement(placement_options Chosen,
                                     placement_limiters Shared)
    : Options(std::move(Chosen)), Limiters(Shared), Random(Options.Seed),
      Health(HealthOptions) {}

void service_placement::setTargets(
    const std::vector<fleet::target_report> &Reports, base::instant Now) {
  std::map<std::string, target> Updated;
  std::vector<base::target_id> Ids;
  for (const fleet::target_report &Report : Reports) {
    const auto Previous = Targets.find(Report.Id);
    const bool SameRun =
        Previous != Targets.end() &&
        Previous->second.Report.StartedAtMs == Report.StartedAtMs &&
        Previous->second.Report.Address == Report.Address;
    target Target = SameRun ? Previous->second : target{};
    const bool HasNewReport =
        !SameRun ||
        Previous->second.Report.RemainingWarmUpMs != Report.RemainingWarmUpMs;
    if (HasNewReport && Report.RemainingWarmUpMs > 0) {
      Target.ColdUntil = Now +
                         std::chrono::milliseconds(Report.RemainingWarmUpMs) +
                         ReportDelayMargin;
      Target.ColdByReport = true;
    }
    Target.Report = Report;
    Target.Leaving = LeavingRuns.contains({Report.Id, Report.StartedAtMs});
    Target.Rank = base::digest(Report.Id, Options.Seed);
    if (!SameRun)
      Health.restarted(idOf(Report.Id));
    Updated.emplace(Report.Id, std::move(Target));
    Ids.push_back(idOf(Report.Id));
  }
  Targets = std::move(Updated);
  updateAnyAnnouncedLimit();
  Health.setTargets(Ids, Now);
}

service_placement::availability
service_placement::availabilityOf(const std::string &Id, const target &State,
                                  base::instant Now) {
  if (State.Leaving || Now < State.ClosedUntil || !limitPermits(Id, State, Now))
    return availability::Closed;
  if (Now < State.BackOffUntil || Now < State.FailureBackOffUntil ||
      (State.ActiveProbes > 0 && Now - State.ProbingSince >= StalledProbeTime))
    return availability::BackedOff;
  const routing::target_health *Judged = Health.healthOf(idOf(Id));
  if (Judged != nullptr && Judged->PickProbability < 1 &&
      absl::Uniform(Random, 0.0, 1.0) >= Judged->PickProbability)
    return availability::BackedOff;
  return Now < State.ColdUntil ? availability::Cold : availability::Usable;
}

void service_placement::arrangeByPreference(
    std::vector<const target *> &Group) {
  if (Group.size() > PreferredTargets) {
    const auto FirstNonPreferred =
        Group.begin() + static_cast<std::ptrdiff_t>(PreferredTargets);
    std::nth_element(Group.begin(), FirstNonPreferred, Group.end(),
                     [](const target *Left, const target *Right) {
                       return Left->Rank < Right->Rank;
                     });
    std::shuffle(FirstNonPreferred, Group.end(), Random);
  }
  const auto PreferredCount = std::min(PreferredTargets, Group.size());
  std::shuffle(Group.begin(),
               Group.begin() + static_cast<std::ptrdiff_t>(PreferredCount),
               Random);
}

std::optional<service_placement::candidate_class>
service_placement::classOf(const std::string &Id, const target &State,
                           bool WidenSearch, base::instant Now) {
  const availability Availability = availabilityOf(Id, State, Now);
  const bool IsCold = Availability == availability::Cold;
  const bool Local =
      WidenSearch || State.Report.DataCentre == Options.DataCentre;
  const bool Permitted =
      IsCold && Limiters.Cold.allows(Id, Options.WarmUpRate, Now);
  const bool Unchecked = IsCold && mayBeWarm(State);
  if (Availability == availability::Usable || Unchecked ||
      (Permitted && WidenSearch))
    return Local ? candidate_class::Local : candidate_class::Remote;
  if (Availability == availability::BackedOff)
    return candidate_class::BackedOff;
  return Permitted ? std::optional(candidate_class::Cold) : std::nullopt;
}

std::size_t service_placement::candidateCount(base::instant Now) {
  std::size_t Count = 0;
  for (const auto &[Id, State] : Targets)
    Count += classOf(Id, State, true, Now) ? 1 : 0;
  return Count;
}

std::vector<std::string>
service_placement::candidates(const candidate_query &Query, base::instant Now) {
  std::array<std::vector<const target *>, CandidateClasses> ByClass;
  for (const auto &[Id, State] : Targets) {
    if (Query.Excluded.contains(Id))
      continue;
    if (const auto Class = classOf(Id, State, Query.WidenSearch, Now))
      ByClass[static_cast<std::size_t>(*Class)].push_back(&State);
  }
  std::vector<std::string> Chosen;
  const auto IsHinted = [&Query](const target *State) {
    return State->Report.Id == Query.Hint;
  };
  const bool Hinted = std::erase_if(ByClass[0], IsHinted) > 0 ||
                      std::erase_if(ByClass[1], IsHinted) > 0;
  if (Hinted)
    Chosen.push_back(Query.Hint);
  for (auto &Class : ByClass) {
    arrangeByPreference(Class);
    for (const target *State : Class) {
      if (Chosen.size() < Query.Count)
        Chosen.push_back(State->Report.Id);
    }
    const bool Fills = &Class == &ByClass[0] && Query.FillFromRemote;
    if (Chosen.size() >= Query.Count || (!Chosen.empty() && !Fills))
      break;
  }
  return Chosen;
}

void service_placement::probeStarted(const std::string &Target,
                                     base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end() && Found->second.ActiveProbes++ == 0)
    Found->second.ProbingSince = Now;
}

void service_placement::probeEnded(const std::string &Target) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end() && Found->second.ActiveProbes > 0)
    --Found->second.ActiveProbes;
}

void service_placement::probeAnswered(const std::string &Target,
                                      const load_report &Load,
                                      base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  Found->second.UnreachableCount = 0;
  Found->second.BackOffUntil = {};
  Found->second.ColdByReport = false;
  Found->second.ColdUntil = Load.RemainingWarmUp.count() > 0
                                ? Now + Load.RemainingWarmUp
                                : base::instant{};
  ProbesWithoutLoad = Load.Slots == 0 ? ProbesWithoutLoad + 1 : 0;
}

void service_placement::recordUnreachable(const std::string &Target,
                                          base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  const std::uint32_t Doublings =
      std::min(MaxDoublings, Found->second.UnreachableCount++);
  backOff(
      Target,
      std::min(MaxUnreachablePause, FirstUnreachablePause * (1U << Doublings)),
      Now);
}

void service_placement::contactRegained(base::instant LostAt) {
  for (auto &[Id, State] : Targets) {
    State.UnreachableCount = 0;
    State.BackOffUntil = {};
    if (State.LastFailedAt >= LostAt)
      State.FailureBackOffUntil = {};
  }
}

void service_placement::backOff(const std::string &Target, base::duration Time,
                                base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end())
    Found->second.BackOffUntil =
        std::max(Found->second.BackOffUntil, Now + Time);
}

bool service_placement::recordBackpressure(
    const std::string &Target, const target_backpressure &Backpressure,
    base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return false;
  target &State = Found->second;
  bool Changed = false;
  if (Backpressure.Leaving && !State.Leaving) {
    State.Leaving = Changed = true;
    std::erase_if(LeavingRuns, [Now](const auto &Run) {
      return Now - Run.second > LeavingRetention;
    });
    LeavingRuns[{State.Report.Id, State.Report.StartedAtMs}] = Now;
  }
  if (Backpressure.Pause.count() > 0) {
    Changed = Changed || Now >= State.ClosedUntil;
    const double Factor = 1 + PauseJitter * absl::Uniform(Random, 0.0, 1.0);
    const auto Pause = base::duration(static_cast<base::duration::rep>(
        static_cast<double>(Backpressure.Pause.count()) * Factor));
    State.ClosedUntil = std::max(State.ClosedUntil, Now + Pause);
  }
  return Changed;
}

bool service_placement::admit(const std::string &Target, base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end() || Found->second.Leaving ||
      Now < Found->second.ClosedUntil)
    return false;
  target &State = Found->second;
  // What one limit refuses must not be counted against the other.
  if (!limitPermits(Target, State, Now))
    return false;
  if (Now < State.ColdUntil &&
      !Limiters.Cold.take(Target, Options.WarmUpRate, Now))
    return false;
  return takeFromLimit(Target, State, Now);
}

void service_placement::requestSent(const std::string &Target) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end())
    ++Found->second.InFlight;
}

void service_placement::requestEnded(const std::string &Target,
                                     routing::attempt_quality Quality,
                                     base::duration Elapsed,
                                     base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  if (Found->second.InFlight > 0)
    --Found->second.InFlight;
  Health.record(idOf(Target), Quality, Elapsed, Now);
  if (Quality != routing::attempt_quality::Good)
    return;
  Times.record(Elapsed);
  Found->second.Failures /= 2;
}

bool isHung(base::duration Elapsed, base::duration Objective) {
  return Elapsed >= Objective * HungObjectives;
}

void service_placement::requestFailed(const std::string &Target,
                                      base::instant Now) {
  backOffAfterFailure(Target, FailurePause, Now);
}

void service_placement::requestRefused(const std::string &Target,
                                       base::instant Now) {
  backOffAfterFailure(Target, RefusalPause, Now);
}

void service_placement::backOffAfterFailure(const std::string &Target,
                                            base::duration First,
                                            base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  const auto Pausing =
      std::count_if(Targets.begin(), Targets.end(), [Now](const auto &Entry) {
        return Now < Entry.second.FailureBackOffUntil;
      });
  const double MaxPausing =
      MaxFaultyShare * static_cast<double>(Targets.size());
  if (static_cast<double>(Pausing) + 1 > MaxPausing)
    return;
  const std::uint32_t Doublings =
      std::min(MaxDoublings, Found->second.Failures++);
  Found->second.FailureBackOffUntil = Now + First * (1U << Doublings);
  Found->second.LastFailedAt = Now;
}

unreported_requests
service_placement::inFlight(const std::string &Target) const {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() ? 0 : Found->second.InFlight;
}

const fleet::target_report *
service_placement::find(const std::string &Target) const {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() ? nullptr : &Found->second.Report;
}

} // namespace fulmar::placement
