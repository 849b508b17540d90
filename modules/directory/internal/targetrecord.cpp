#include "targetrecord.h"

#include <algorithm>

namespace fulmar::directory {

namespace {

/// Number of former incarnations remembered, to recognise late announcements
/// and reports.
constexpr std::size_t MaxFormer = 8;
/// Initial capacity of a target that may have become cold without announcing
/// it, or whose data centre has returned.
constexpr std::uint32_t InitialCapacity = 1;
constexpr std::uint64_t MaxCapacity = 1000000;
/// If two samples are further apart than this, the instance may not have been
/// the owner in between.
constexpr base::duration MaxSampleGap = std::chrono::seconds(1);

std::uint32_t limitOf(const announcement &Announced,
                      const service_policy &Policy) {
  return static_cast<std::uint32_t>(std::min(
      std::uint64_t{Announced.Slots} * Policy.InFlightPerSlot, MaxCapacity));
}

} // namespace

target_record::target_record(const target_owner_options &Given,
                             const announcement &First, base::instant Now)
    : Ledger({.Permission = Given.Permission, .GrantMargin = Given.GrantMargin},
             First.Id.str()),
      Options(Given), Takeover({.Transit = Given.GrantMargin,
                                .ReportInterval = Given.Permission.Grant / 2}),
      Last(First), HeardAt(Now), Load(First.Load), LoadAt(Now) {
  Ramp.restart(First.MaxInFlight, Now);
}

bool target_record::expired(base::instant Now) const {
  return Now - HeardAt > Options.Permission.AnnouncementLease;
}

bool target_record::isFormer(const std::string &Incarnation) const {
  return std::any_of(Former.begin(), Former.end(), [&](const auto &Known) {
    return Known.Incarnation == Incarnation;
  });
}

bool target_record::isLate(const announcement &Announcement,
                           base::instant Now) const {
  if (Announcement.Incarnation == Last.Incarnation)
    return Announcement.Sequence != 0 && Announcement.Sequence <= Last.Sequence;
  // A former incarnation is accepted again only after the present one has
  // expired, in case their announcements arrived in the wrong order.
  return !expired(Now) && isFormer(Announcement.Incarnation);
}

void target_record::onAnnouncement(const announcement &Announcement,
                                   base::instant Now) {
  if (isLate(Announcement, Now))
    return;
  const bool IsNewRun = Announcement.Incarnation != Last.Incarnation ||
                        Announcement.Address != Last.Address || expired(Now);
  if (IsNewRun)
    beginIncarnation(Announcement, Now);
  else
    continueIncarnation(Announcement, Now);
  HeardAt = Now;
  Load = Announcement.Load;
  LoadAt = Now;
  Takeover.onAnnouncement(Announcement.InFlight, Now);
}

void target_record::sampleActing(bool Acting, const service_policy &Policy,
                                 base::instant Now) {
  const bool Continues = Acting && ActedAt && Now - *ActedAt <= MaxSampleGap;
  if (Continues)
    Probes.refill(Policy.ProbeBudgetPerSecond, Now - *ActedAt);
  else
    Probes.reset();
  if (Acting && !Continues)
    Takeover.begin(Now);
  Takeover.update(Ledger.reported(Takeover.countedAt()), Now);
  ActedAt = Acting ? std::optional(Now) : std::nullopt;
}

void target_record::beginIncarnation(const announcement &Announcement,
                                     base::instant Now) {
  if (Announcement.Incarnation != Last.Incarnation) {
    Former.push_back({Last.Incarnation, Last.Address});
    if (Former.size() > MaxFormer)
      Former.pop_front();
  }
  Last = Announcement;
  NoGrantBefore = std::max(NoGrantBefore, Ledger.grantsExpireAt());
  Suspected = false;
  Ramp.restart(Last.MaxInFlight, Now);
}

void target_record::continueIncarnation(const announcement &Announcement,
                                        base::instant Now) {
  const target_state StateBefore = Last.State;
  const std::uint32_t MaxInFlightBefore = Last.MaxInFlight;
  Last = Announcement;
  if (StateBefore == target_state::Draining)
    Last.State = target_state::Draining;
  if (StateBefore == target_state::Cold && Last.State == target_state::Warm)
    Ramp.restart(MaxInFlightBefore, Now);
  if (Suspected && Now >= NoGrantBefore) {
    Suspected = false;
    Ramp.restart(std::min(InitialCapacity, Last.MaxInFlight), Now);
  }
}

void target_record::markSuspected(const observation &Observation,
                                  base::instant Now) {
  const bool IncarnationDiffers =
      Observation.Kind == observation_kind::IncarnationDiffers;
  if (IncarnationDiffers && isFormer(Observation.SeenIncarnation))
    return;
  Suspected = true;
  NoGrantBefore = std::max(NoGrantBefore, Ledger.grantsExpireAt());
  // The other incarnation is expected to announce itself.
  if (IncarnationDiffers)
    NoGrantBefore =
        std::max(NoGrantBefore, Now + Options.Permission.AnnouncementLease);
}

void target_record::onObservation(const observation &Observation,
                                  const service_policy &Policy,
                                  base::instant Now) {
  if (Observation.Incarnation != Last.Incarnation)
    return;
  if (Observation.Kind == observation_kind::Reset ||
      Observation.Kind == observation_kind::IncarnationDiffers) {
    markSuspected(Observation, Now);
    return;
  }
  // Several entries may report the same event, which must count only once.
  if (Now - ReducedAt < Options.Permission.Grant)
    return;
  ReducedAt = Now;
  Ramp.restart(std::max(InitialCapacity, capacity(Policy, Now) / 2), Now);
}

void target_record::onLoad(const std::string &Incarnation, double Reported,
                           base::instant Now) {
  if (Incarnation != Last.Incarnation)
    return;
  Load = Reported;
  LoadAt = Now;
}

void target_record::setInService(bool Serves, base::instant Now) {
  if (Serves && !InService)
    Ramp.restart(std::min(InitialCapacity, Last.MaxInFlight), Now);
  InService = Serves;
}

std::uint32_t target_record::capacity(const service_policy &Policy,
                                      base::instant Now) const {
  if (!InService || Suspected || expired(Now) || Now < NoGrantBefore ||
      Last.State == target_state::Draining)
    return 0;
  const std::uint32_t Limit = limitOf(Last, Policy);
  if (Last.State == target_state::Cold)
    return std::min(Last.MaxInFlight, Limit);
  return Ramp.at(Limit, Policy.ColdRamp, Now);
}

std::uint32_t target_record::grantable(const service_policy &Policy,
                                       base::instant Now) const {
  const auto Unreported = Takeover.unreported();
  const std::uint32_t Capacity = capacity(Policy, Now);
  return Unreported && *Unreported < Capacity ? Capacity - *Unreported : 0;
}

bool target_record::mayRunHere(const std::string &Incarnation) const {
  const auto Found =
      std::find_if(Former.rbegin(), Former.rend(), [&](const auto &Known) {
        return Known.Incarnation == Incarnation;
      });
  return Found == Former.rend() || Found->Address == Last.Address;
}

grant target_record::grantOf(std::uint32_t Granted, base::instant Now) const {
  return {.Target = Last.Id,
          .Service = Last.Service,
          .DataCentre = Last.DataCentre,
          .Address = Last.Address,
          .Incarnation = Last.Incarnation,
          .State = Last.State,
          .Granted = Granted,
          .Load = Load,
          .ReportAge = std::max(Now - LoadAt, base::duration(0))};
}

target_status target_record::status(const service_policy &Policy,
                                    base::instant Now) const {
  return {.Announced = Last,
          .Capacity = capacity(Policy, Now),
          .Committed = static_cast<std::uint32_t>(
              std::min<std::uint64_t>(Ledger.committed(Now), MaxCapacity)),
          .Suspected = Suspected,
          .Expired = expired(Now)};
}

} // namespace fulmar::directory
