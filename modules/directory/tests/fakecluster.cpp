// The simulated network, and the processes around the directory's state
// machines.

#include "fakecluster.h"

#include "published.h"

#include <algorithm>

namespace fulmar::directory {

namespace {

constexpr base::duration Step = milliseconds(20);
constexpr base::duration TickInterval = milliseconds(100);
constexpr base::duration SyncInterval = milliseconds(250);
constexpr base::duration AnnounceInterval = milliseconds(500);
/// Percentage of messages that pass through the JSON encoding, which is slow in
/// builds with checks.
constexpr unsigned CodecPercent = 2;
constexpr unsigned OtherOwnersPercent = 20;
constexpr base::duration ProbeCost = milliseconds(6);
const base::service_name Service("registry");

std::string dataCentreOf(int Index) { return "dc" + std::to_string(Index % 2); }

std::string addressOf(int Port) { return "10.0.0.1:" + std::to_string(Port); }

} // namespace

fake_cluster::fake_cluster(const cluster_options &Given)
    : Options(Given), Random(Given.Seed) {
  for (int Index = 0; Index < Options.Entries; ++Index) {
    Entries.push_back(nullptr);
    startProcess(Index);
  }
  for (int Index = 0; Index < Options.Targets; ++Index) {
    fake_target Target;
    Target.Announced = {.Id = base::target_id("t" + std::to_string(Index)),
                        .Service = Service,
                        .DataCentre =
                            base::data_centre_name(dataCentreOf(Index)),
                        .Address = addressOf(9000 + Index),
                        .Incarnation = "i0",
                        .State = target_state::Cold,
                        .Slots = Options.Slots,
                        .MaxInFlight = Options.ColdCapacity};
    Targets.push_back(Target);
  }
}

void fake_cluster::publish(const std::string &Key, const std::string &Value) {
  Control.put(Key, Value, ++Serial);
}

void fake_cluster::startProcess(int Index) {
  auto Entry = std::make_unique<fake_entry>(Options.Permission.Permission);
  Entry->Id = base::instance_id("e" + std::to_string(Index));
  Entry->Incarnation = "p" + std::to_string(++Incarnations);
  Entry->Ownership = std::make_unique<ownership>(
      ownership_options{.Self = Entry->Id,
                        .Incarnation = Entry->Incarnation,
                        .HandoverDelay = Options.Permission.Permission});
  Entry->Owner = std::make_unique<target_owner>(
      target_owner_options{.Permission = Options.Permission}, *Entry->Ownership,
      Entry->Freshness);
  Entry->Owner->setPolicy(Service, Options.Policy);
  Entry->Shares = std::make_unique<share_view>(
      share_view_options{.Self = Entry->Id,
                         .Incarnation = Entry->Incarnation,
                         .Permission = Options.Permission},
      *Entry->Ownership, Entry->Freshness);
  Entry->NextSync = Now + milliseconds(below(250));
  Entries[Index] = std::move(Entry);
  setMember(Index, true);
}

void fake_cluster::setMember(int Index, bool Present) {
  const fake_entry &Entry = *Entries[Index];
  const member Member =
      entryAt(Entry.Id.str(), dataCentreOf(Index), Entry.Incarnation);
  publish(publication::MemberPrefix + Entry.Id.str(),
          Present ? textOf(Member) : "");
}

void fake_cluster::setDataCentre(const std::string &Name, bool In) {
  publish(publication::DataCentrePrefix + Name,
          In ? R"({"state":"in"})" : R"({"state":"out"})");
}

void fake_cluster::restartEntry(int Index) {
  // The connections of a process are closed when it ends.
  for (const running_request &Request : Entries[Index]->Running) {
    fake_target &Target = Targets[Request.Target];
    if (Target.Announced.Incarnation == Request.ActualIncarnation)
      --Target.InFlight;
  }
  startProcess(Index);
}

void fake_cluster::restartTarget(int Index) {
  fake_target &Target = Targets[Index];
  Target.Announced.Incarnation = "i" + std::to_string(++Incarnations);
  Target.Announced.State = target_state::Cold;
  Target.Announced.MaxInFlight = Options.ColdCapacity;
  Target.InFlight = 0;
  Target.KnownByOwner.clear();
  Target.KnownSince = base::instant::max();
  Target.NextAnnouncement = Now + AnnounceInterval;
}

void fake_cluster::setState(int Index, target_state State) {
  Targets[Index].Announced.State = State;
  Targets[Index].KnownByOwner.clear();
  Targets[Index].KnownSince = base::instant::max();
}

bool fake_cluster::reachable(int Entry) const {
  return Entry == ControlIndex || (Now >= Entries[Entry]->DisconnectedUntil &&
                                   Now >= Entries[Entry]->FrozenUntil);
}

void fake_cluster::send(int From, int To, std::function<void()> Deliver) {
  const int Copies = percent() < Options.DuplicationPercent ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    if (percent() < Options.LossPercent)
      continue;
    const base::duration Delay(
        below(static_cast<int>(Options.MaxDelay.count())));
    Network.emplace(Now + Delay, [this, From, To, Deliver] {
      // A frozen process receives pending messages when it resumes.
      const bool Frozen = To >= 0 && Now < Entries[To]->FrozenUntil;
      if (Frozen)
        Network.emplace(Entries[To]->FrozenUntil, Deliver);
      else if (reachable(To) && (From == ControlIndex ||
                                 Now >= Entries[From]->DisconnectedUntil))
        Deliver();
    });
  }
}

void fake_cluster::deliverDue() {
  while (!Network.empty() && Network.begin()->first <= Now) {
    const auto Deliver = std::move(Network.begin()->second);
    Network.erase(Network.begin());
    Deliver();
  }
}

void fake_cluster::syncWithControl(int Index) {
  const fake_entry &Entry = *Entries[Index];
  send(Index, ControlIndex,
       [this, Index, Process = Entry.Incarnation, Asked = Now,
        Known = Entry.Items.latest()] {
         const auto Age = base::duration(0);
         send(ControlIndex, Index,
              [this, Index, Process, Asked, Age,
               Changes = Control.changesSince(Known)] {
                if (Entries[Index]->Incarnation == Process)
                  onControlAnswer(Index, Changes, Asked, Age);
              });
       });
}

void fake_cluster::onControlAnswer(int Index,
                                   const publication::changes &Changes,
                                   base::instant SentAt, base::duration Age) {
  fake_entry &Entry = *Entries[Index];
  const publication::serial Before = Entry.Items.latest();
  if (!Entry.Items.merge(Changes).has_value())
    return;
  if (Entry.Items.latest() != Before) {
    Entry.Ownership->onMembership(viewOf(Entry.Items),
                                  changesSince(Entry.Items, Before), Now);
    Entry.Owner->setOutOfService(Entry.Ownership->view().outOfService(), Now);
  }
  Entry.Freshness.onAnswer(SentAt, Age);
}

int fake_cluster::indexOf(const base::instance_id &Id) const {
  return std::stoi(Id.str().substr(1));
}

router_counters fake_cluster::countersOf(const fake_entry &Entry) const {
  router_counters Counters;
  Counters.Demands.push_back({Service, Entry.Wanted});
  std::map<std::pair<int, std::string>, std::uint32_t> Counts;
  for (const running_request &Request : Entry.Running)
    ++Counts[{Request.Target, Request.BelievedIncarnation}];
  for (const auto &[Key, Count] : Counts)
    Counters.InFlight.push_back(
        {Targets[Key.first].Announced.Id, Key.second, Count});
  return Counters;
}

void fake_cluster::syncShares(int Index, int To) {
  fake_entry &Entry = *Entries[Index];
  const base::instance_id Id = Entries[To]->Id;
  const auto Request = Entry.Shares->nextRequest(Id, countersOf(Entry), Now);
  send(Index, To, [this, Index, To, Request] {
    const auto Answer = Entries[To]->Owner->onShareRequest(
        CodecPercent > percent() ? shareRequestFromJson(toJson(Request)).value()
                                 : Request,
        Now);
    if (!Answer.has_value())
      return;
    send(To, Index,
         [this, Index, To, Process = Request.Incarnation,
          Given = Answer.value()] {
           if (Entries[Index]->Incarnation == Process &&
               Entries[Index]->Shares->onAnswer(
                   Entries[To]->Id,
                   CodecPercent > percent()
                       ? shareAnswerFromJson(toJson(Given)).value()
                       : Given,
                   Now))
             syncShares(Index, To);
         });
  });
}

void fake_cluster::announce(int Index) {
  fake_target &Target = Targets[Index];
  Target.NextAnnouncement = Now + AnnounceInterval;
  ++Target.Announced.Sequence;
  Target.Announced.InFlight = Target.InFlight;
  // The reported load is random.
  Target.Announced.Load = percent() / 100.0;
  const int Relay = below(Options.Entries);
  send(ControlIndex, Relay, [this, Relay, Announced = Target.Announced] {
    const auto Owner =
        Entries[Relay]->Ownership->ownerOf(Announced.Id, Announced.DataCentre);
    if (!Owner)
      return;
    const int To = indexOf(*Owner);
    send(Relay, To, [this, To, Announced] {
      Entries[To]->Owner->onAnnouncement(Announced, Now);
    });
  });
}

void fake_cluster::finishRequests(int Index) {
  fake_entry &Entry = *Entries[Index];
  std::erase_if(Entry.Running, [&](const running_request &Request) {
    fake_target &Target = Targets[Request.Target];
    const bool Broken =
        Target.Announced.Incarnation != Request.ActualIncarnation;
    if (!Broken && Now < Request.End)
      return false;
    if (Broken)
      Entry.Shares->reportAnomaly(Target.Announced.Id,
                                  Request.BelievedIncarnation,
                                  observation_kind::Reset, Now);
    else
      --Target.InFlight;
    if (!Broken && Request.ActualIncarnation != Request.BelievedIncarnation)
      Entry.Shares->reportIncarnation(Target.Announced.Id,
                                      Request.BelievedIncarnation,
                                      Request.ActualIncarnation, Now);
    ++Entry.Served;
    return true;
  });
}

std::uint32_t fake_cluster::capacityOf(int Index) const {
  const announcement &Announced = Targets[Index].Announced;
  return Announced.State == target_state::Cold
             ? Announced.MaxInFlight
             : Announced.Slots * Options.Policy.InFlightPerSlot;
}

void fake_cluster::startRequests(int Index) {
  fake_entry &Entry = *Entries[Index];
  for (const routing::candidate &Candidate :
       Entry.Shares->candidates(Service, Now)) {
    const int Target = std::stoi(Candidate.Target.str().substr(1));
    const auto Own = std::count_if(
        Entry.Running.begin(), Entry.Running.end(),
        [&](const auto &Request) { return Request.Target == Target; });
    for (auto Free = static_cast<long>(Candidate.Granted) - Own;
         Free > 0 && Entry.Running.size() < Entry.Wanted; --Free)
      arrive(Entry, Target, Candidate.Incarnation);
  }
}

void fake_cluster::arrive(fake_entry &Entry, int Index,
                          const std::string &BelievedIncarnation) {
  fake_target &Target = Targets[Index];
  ++Target.InFlight;
  ++Arrivals;
  Target.LastArrival = Now;
  const base::duration Length(
      1000 + below(static_cast<int>(Options.MaxService.count())));
  Entry.Running.push_back(
      {Index, BelievedIncarnation, Target.Announced.Incarnation, Now + Length});
  const base::duration Grant = Options.Permission.Grant;
  const bool Known =
      !Target.KnownByOwner.empty() && Target.KnownSince < Now - Grant;
  const bool Draining = Target.Announced.State == target_state::Draining;
  if (Known && (Draining || Target.InFlight > capacityOf(Index)))
    Violation = Target.Announced.Id.str() + " bears " +
                std::to_string(capacityOf(Index)) + " and received " +
                std::to_string(Target.InFlight);
}

void fake_cluster::probe(int Index) {
  for (const base::target_id &Id : Entries[Index]->Owner->actingTargets(Now)) {
    if (Entries[Index]->Owner->takeProbe(Id, ProbeCost, Now))
      Targets[std::stoi(Id.str().substr(1))].Probes.emplace_back(Now,
                                                                 ProbeCost);
  }
}

bool fake_cluster::knows(const fake_entry &Entry,
                         const announcement &Announced) const {
  for (const target_status &Status : Entry.Owner->status(Now)) {
    const announcement &Known = Status.Announced;
    if (Known.Id == Announced.Id)
      return Known.Incarnation == Announced.Incarnation &&
             Known.State == Announced.State &&
             Known.MaxInFlight <= Announced.MaxInFlight;
  }
  return false;
}

void fake_cluster::checkOwners() {
  for (fake_target &Target : Targets) {
    int Acting = 0;
    for (const auto &Entry : Entries) {
      if (Now < Entry->FrozenUntil ||
          !Entry->Ownership->mayAct(Target.Announced.Id,
                                    Target.Announced.DataCentre,
                                    Entry->Freshness, Now))
        continue;
      ++Acting;
      if (Target.KnownByOwner == Entry->Incarnation)
        continue;
      // The acting owner is not the one that was known to have the target's
      // state.
      const bool Knows = knows(*Entry, Target.Announced);
      Target.KnownByOwner = Knows ? Entry->Incarnation : "";
      Target.KnownSince =
          Knows ? std::min(Target.KnownSince, Now) : base::instant::max();
    }
    if (Acting > 1)
      Violation = "two owners act for " + Target.Announced.Id.str();
  }
}

bool fake_cluster::ownsAny(const fake_entry &Entry,
                           const base::instance_id &Owner) const {
  return std::any_of(
      Targets.begin(), Targets.end(), [&](const fake_target &Target) {
        return Entry.Ownership->ownerOf(Target.Announced.Id,
                                        Target.Announced.DataCentre) == Owner;
      });
}

void fake_cluster::run(base::duration Time) {
  for (const base::instant End = Now + Time; Now < End && Violation.empty();) {
    Now += Step;
    deliverDue();
    checkOwners();
    for (int Index = 0; Index < Options.Targets; ++Index)
      if (Targets[Index].Alive && Now >= Targets[Index].NextAnnouncement)
        announce(Index);
    for (int Index = 0; Index < Options.Entries; ++Index) {
      fake_entry &Entry = *Entries[Index];
      if (Now < Entry.FrozenUntil)
        continue;
      finishRequests(Index);
      startRequests(Index);
      if (Now >= Entry.NextTick) {
        Entry.NextTick = Now + TickInterval;
        Entry.Owner->tick(Now);
        probe(Index);
      }
      if (Now < Entry.NextSync)
        continue;
      Entry.NextSync = Now + SyncInterval;
      syncWithControl(Index);
      for (const base::instance_id &Owner : Entry.Shares->owners()) {
        // Entries that own no target are asked less often.
        if (percent() < OtherOwnersPercent || ownsAny(Entry, Owner))
          syncShares(Index, indexOf(Owner));
      }
    }
    Check();
  }
}

} // namespace fulmar::directory
