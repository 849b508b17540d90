// Keeps the targets of a service and picks candidates.

#include "fulmar/placement/serviceplacement.h"

#include "fulmar/base/rendezvous.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace fulmar::placement {

namespace {

/// First pause after a target was not reachable; doubled by each further miss.
constexpr base::duration FirstPause = std::chrono::milliseconds(200);
/// Longest pause: a target that returns is found within two seconds.
constexpr base::duration LongestPause = std::chrono::milliseconds(1'600);
constexpr std::uint32_t MaxDoublings = 3;
/// Pause after a failed request; doubled by each further failure. Faults of
/// targets last for seconds.
constexpr base::duration FailurePause = std::chrono::seconds(2);
/// The same after a refusal: as long as a queue takes to empty.
constexpr base::duration RefusalPause = std::chrono::milliseconds(500);
/// Objectives after which a request is taken to be lost at its target.
constexpr int HungObjectives = 2;
/// Part of the targets that may pause for failures: beyond that, requests that
/// any target would fail are the likelier cause.
constexpr double MaxFaultyShare = 0.25;
/// A report that tells of a cold start may have been on its way this long.
constexpr base::duration ColdMargin = std::chrono::milliseconds(100);

/// A target that has not answered a look by then may be stalled: several times
/// a look's usual time.
constexpr base::duration LookLimit = std::chrono::milliseconds(25);

/// Part by which a pause that a target asked for is drawn out at most, so that
/// the entries that it told the same do not return together.
constexpr double PauseSpread = 0.25;
/// Targets that leave are gone long before.
constexpr base::duration LeavingMemory = std::chrono::minutes(10);

constexpr routing::outlier_options HealthOptions{
    .MaxEjectedShare = 0.5,
    .BaseEjection = std::chrono::seconds(1),
    .MaxEjection = std::chrono::seconds(8),
    .InitialPickProbability = 0.25};

base::target_id idOf(const std::string &Id) { return base::target_id(Id); }

} // namespace

service_placement::service_placement(placement_options Chosen,
                                     cold_limiter &Limiter)
    : Options(std::move(Chosen)), Cold(Limiter), Random(Options.Seed),
      Health(HealthOptions) {}

void service_placement::setTargets(
    const std::vector<fleet::target_report> &Reports, base::instant Now) {
  std::map<std::string, target> Next;
  std::vector<base::target_id> Ids;
  for (const fleet::target_report &Report : Reports) {
    const auto Held = Targets.find(Report.Id);
    const bool SameRun =
        Held != Targets.end() &&
        Held->second.Report.StartedAtMs == Report.StartedAtMs &&
        Held->second.Report.Address == Report.Address;
    target Target = SameRun ? Held->second : target{};
    const bool News =
        !SameRun || Held->second.Report.ColdLeftMs != Report.ColdLeftMs;
    if (News && Report.ColdLeftMs > 0) {
      Target.ColdUntil =
          Now + std::chrono::milliseconds(Report.ColdLeftMs) + ColdMargin;
      Target.ColdByReport = true;
    }
    Target.Report = Report;
    Target.Leaving = LeavingRuns.contains({Report.Id, Report.StartedAtMs});
    Target.Rank = base::digest(Report.Id, Options.Seed);
    if (!SameRun)
      Health.restarted(idOf(Report.Id));
    Next.emplace(Report.Id, std::move(Target));
    Ids.push_back(idOf(Report.Id));
  }
  Targets = std::move(Next);
  Health.setTargets(Ids, Now);
}

service_placement::standing service_placement::standingOf(const std::string &Id,
                                                          const target &Held,
                                                          base::instant Now) {
  if (Held.Leaving || Now < Held.ClosedUntil)
    return standing::Closed;
  if (Now < Held.AwayUntil || Now < Held.FaultyUntil ||
      (Held.Looks > 0 && Now - Held.LookingSince >= LookLimit))
    return standing::Away;
  const routing::target_health *Judged = Health.healthOf(idOf(Id));
  if (Judged != nullptr && Judged->PickProbability < 1 &&
      absl::Uniform(Random, 0.0, 1.0) >= Judged->PickProbability)
    return standing::Away;
  return Now < Held.ColdUntil ? standing::Cold : standing::Usable;
}

void service_placement::arrange(std::vector<const target *> &Equals) {
  if (Equals.size() > NearTargets) {
    const auto FirstFar =
        Equals.begin() + static_cast<std::ptrdiff_t>(NearTargets);
    std::nth_element(Equals.begin(), FirstFar, Equals.end(),
                     [](const target *Left, const target *Right) {
                       return Left->Rank < Right->Rank;
                     });
    std::shuffle(FirstFar, Equals.end(), Random);
  }
  const auto Near = std::min(NearTargets, Equals.size());
  std::shuffle(Equals.begin(),
               Equals.begin() + static_cast<std::ptrdiff_t>(Near), Random);
}

std::vector<std::string>
service_placement::candidates(const candidate_query &Query, base::instant Now) {
  // In order of preference: own data centre, others, cold, away.
  constexpr std::size_t Classes = 4;
  std::vector<const target *> ByClass[Classes];
  for (const auto &[Id, Held] : Targets) {
    if (Query.Excluded.contains(Id))
      continue;
    const standing Standing = standingOf(Id, Held, Now);
    const bool Local =
        Query.Anywhere || Held.Report.DataCentre == Options.DataCentre;
    const bool Permitted =
        Standing == standing::Cold && Cold.allows(Id, Options.WarmUpRate, Now);
    const bool Unchecked = Standing == standing::Cold && mayBeWarm(Held);
    if (Standing == standing::Usable || Unchecked ||
        (Permitted && Query.Anywhere))
      ByClass[Local ? 0 : 1].push_back(&Held);
    else if (Standing == standing::Away)
      ByClass[3].push_back(&Held);
    else if (Permitted)
      ByClass[2].push_back(&Held);
  }
  std::vector<std::string> Chosen;
  const auto IsHinted = [&Query](const target *Held) {
    return Held->Report.Id == Query.Hint;
  };
  const bool Hinted = std::erase_if(ByClass[0], IsHinted) > 0 ||
                      std::erase_if(ByClass[1], IsHinted) > 0;
  if (Hinted)
    Chosen.push_back(Query.Hint);
  for (auto &Class : ByClass) {
    arrange(Class);
    for (const target *Held : Class) {
      if (Chosen.size() < Query.Count)
        Chosen.push_back(Held->Report.Id);
    }
    const bool Fills = &Class == &ByClass[0] && Query.FillAbroad;
    if (Chosen.size() >= Query.Count || (!Chosen.empty() && !Fills))
      break;
  }
  return Chosen;
}

void service_placement::looking(const std::string &Target, base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end() && Found->second.Looks++ == 0)
    Found->second.LookingSince = Now;
}

void service_placement::lookEnded(const std::string &Target) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end() && Found->second.Looks > 0)
    --Found->second.Looks;
}

void service_placement::probed(const std::string &Target,
                               const load_report &Load, base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  Found->second.Misses = 0;
  Found->second.AwayUntil = {};
  Found->second.ColdByReport = false;
  Found->second.ColdUntil =
      Load.ColdLeft.count() > 0 ? Now + Load.ColdLeft : base::instant{};
  Silent = Load.Slots == 0 ? Silent + 1 : 0;
}

void service_placement::unreachable(const std::string &Target,
                                    base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  const std::uint32_t Doublings =
      std::min(MaxDoublings, Found->second.Misses++);
  standBack(Target, std::min(LongestPause, FirstPause * (1U << Doublings)),
            Now);
}

void service_placement::standBack(const std::string &Target,
                                  base::duration Time, base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end())
    Found->second.AwayUntil = std::max(Found->second.AwayUntil, Now + Time);
}

bool service_placement::wished(const std::string &Target,
                               const target_wish &Wish, base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return false;
  target &Held = Found->second;
  bool News = false;
  if (Wish.Leaving && !Held.Leaving) {
    Held.Leaving = News = true;
    std::erase_if(LeavingRuns, [Now](const auto &Run) {
      return Now - Run.second > LeavingMemory;
    });
    LeavingRuns[{Held.Report.Id, Held.Report.StartedAtMs}] = Now;
  }
  if (Wish.Pause.count() > 0) {
    News = News || Now >= Held.ClosedUntil;
    const double Factor = 1 + PauseSpread * absl::Uniform(Random, 0.0, 1.0);
    const auto Pause = base::duration(static_cast<base::duration::rep>(
        static_cast<double>(Wish.Pause.count()) * Factor));
    Held.ClosedUntil = std::max(Held.ClosedUntil, Now + Pause);
  }
  return News;
}

std::optional<base::instant>
service_placement::opensAt(base::instant Now) const {
  std::optional<base::instant> Earliest;
  for (const auto &[Id, Held] : Targets) {
    if (Held.Leaving)
      continue;
    const base::instant Opens = std::max(Now, Held.ClosedUntil);
    if (!Earliest || Opens < *Earliest)
      Earliest = Opens;
    if (Opens == Now)
      break;
  }
  return Earliest;
}

bool service_placement::admit(const std::string &Target, base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end() || Found->second.Leaving ||
      Now < Found->second.ClosedUntil)
    return false;
  if (Now >= Found->second.ColdUntil)
    return true;
  return Cold.take(Target, Options.WarmUpRate, Now);
}

void service_placement::sent(const std::string &Target) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end())
    ++Found->second.InFlight;
}

void service_placement::ended(const std::string &Target,
                              routing::attempt_quality Quality,
                              base::duration Elapsed, base::instant Now) {
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

void service_placement::failed(const std::string &Target, base::instant Now) {
  leaveAlone(Target, FailurePause, Now);
}

void service_placement::refused(const std::string &Target, base::instant Now) {
  leaveAlone(Target, RefusalPause, Now);
}

void service_placement::leaveAlone(const std::string &Target,
                                   base::duration First, base::instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  const auto Pausing =
      std::count_if(Targets.begin(), Targets.end(), [Now](const auto &Entry) {
        return Now < Entry.second.FaultyUntil;
      });
  const double Most = MaxFaultyShare * static_cast<double>(Targets.size());
  if (static_cast<double>(Pausing) + 1 > Most)
    return;
  const std::uint32_t Doublings =
      std::min(MaxDoublings, Found->second.Failures++);
  Found->second.FaultyUntil = Now + First * (1U << Doublings);
}

hidden_requests service_placement::inFlight(const std::string &Target) const {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() ? 0 : Found->second.InFlight;
}

const fleet::target_report *
service_placement::find(const std::string &Target) const {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() ? nullptr : &Found->second.Report;
}

} // namespace fulmar::placement
