#include "fulmar/directory/targetowner.h"

#include "targetrecord.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace fulmar::directory {

namespace {

/// How long the sequence of an entry that stopped reporting is remembered.
constexpr base::duration SequenceRetention = std::chrono::minutes(1);

std::string nameOf(const share_request &Request) {
  return Request.Entry.str() + "/" + Request.Incarnation;
}

using in_flight_index =
    std::multimap<base::target_id, const target_in_flight *>;

in_flight_index indexOf(const share_request &Request) {
  in_flight_index Index;
  for (const target_in_flight &InFlight : Request.InFlight)
    Index.emplace(InFlight.Target, &InFlight);
  return Index;
}

std::optional<std::uint32_t> wantedOf(const share_request &Request,
                                      const base::service_name &Service) {
  for (const service_demand &Demand : Request.Demands) {
    if (Demand.Service == Service)
      return Demand.Wanted;
  }
  return std::nullopt;
}

share_report reportOn(const target_record &Record, const share_request &Request,
                      const in_flight_index &Index) {
  share_report Report{.Sequence = Request.Sequence,
                      .Applied = Request.Applied,
                      .SentAt = Request.SentAt,
                      .Wanted = wantedOf(Request, Record.announced().Service)};
  const auto [First, Last] = Index.equal_range(Record.announced().Id);
  for (auto Found = First; Found != Last; ++Found) {
    if (Record.mayRunHere(Found->second->Incarnation))
      Report.InFlight += Found->second->Count;
  }
  return Report;
}

bool isSignificantChange(const target_status &A, const target_status &B) {
  return A.Announced.Incarnation != B.Announced.Incarnation ||
         A.Announced.State != B.Announced.State || A.Suspected != B.Suspected ||
         A.Expired != B.Expired;
}

} // namespace

target_owner::target_owner(const target_owner_options &Given,
                           const ownership &Views, const freshness &Proofs)
    : Options(Given), Ownership(Views), Freshness(Proofs) {}

target_owner::~target_owner() = default;

void target_owner::setPolicy(const base::service_name &Service,
                             const service_policy &Policy) {
  Policies[Service] = Policy;
}

const service_policy &
target_owner::policyOf(const target_record &Record) const {
  static const service_policy Default;
  const auto Found = Policies.find(Record.announced().Service);
  return Found == Policies.end() ? Default : Found->second;
}

void target_owner::setOutOfService(
    const std::set<base::data_centre_name> &DataCentres, base::instant Now) {
  OutOfService = DataCentres;
  for (const auto &[Id, Record] : Records)
    Record->setInService(!OutOfService.contains(Record->announced().DataCentre),
                         Now);
}

bool target_owner::mayAct(const target_record &Record,
                          base::instant Now) const {
  return Ownership.mayAct(Record.announced().Id, Record.announced().DataCentre,
                          Freshness, Now);
}

bool target_owner::sampleActing(target_record &Record, base::instant Now) {
  const bool Acting = mayAct(Record, Now);
  Record.sampleActing(Acting, policyOf(Record), Now);
  return Acting;
}

void target_owner::onAnnouncement(const announcement &Announcement,
                                  base::instant Now) {
  std::unique_ptr<target_record> &Record = Records[Announcement.Id];
  if (Record == nullptr)
    Record = std::make_unique<target_record>(Options, Announcement, Now);
  else
    Record->onAnnouncement(Announcement, Now);
  Record->setInService(!OutOfService.contains(Record->announced().DataCentre),
                       Now);
  notifyWhenChanged(*Record, Now);
}

void target_owner::notifyWhenChanged(target_record &Record, base::instant Now) {
  target_status Status = Record.status(policyOf(Record), Now);
  if (!isSignificantChange(Status, Record.LastNotified))
    return;
  Record.LastNotified = Status;
  Changed.notify(Status);
}

void target_owner::applyObservations(const share_request &Request,
                                     base::instant Now) {
  for (const observation &Observation : Request.Observations) {
    const auto Found = Records.find(Observation.Target);
    if (Found == Records.end())
      continue;
    target_record &Record = *Found->second;
    Record.onObservation(Observation, policyOf(Record), Now);
    notifyWhenChanged(Record, Now);
  }
}

base::result<share_answer>
target_owner::onShareRequest(const share_request &Request, base::instant Now) {
  const std::string Entry = nameOf(Request);
  entry_state &Known = Entries[Entry];
  if (Request.Sequence <= Known.Sequence)
    return base::fail(base::error_kind::Conflict,
                      "a newer request was answered");
  Known = {.Sequence = Request.Sequence, .HeardAt = Now};
  applyObservations(Request, Now);
  const in_flight_index Index = indexOf(Request);
  share_answer Answer{.Sequence = Request.Sequence};
  for (const auto &[Id, Record] : Records) {
    const share_report Report = reportOn(*Record, Request, Index);
    if (Report.Wanted || Report.InFlight > 0 ||
        Record->Ledger.hasAccount(Entry))
      Record->Ledger.onReport(Entry, Report, Now);
    if (!sampleActing(*Record, Now) || !Report.Wanted)
      continue;
    const std::uint32_t Granted = Record->Ledger.grant(
        Entry, Report, Record->grantable(policyOf(*Record), Now), Now);
    if (Granted > 0)
      Answer.Grants.push_back(Record->grantOf(Granted, Now));
  }
  return Answer;
}

bool target_owner::takeProbe(const base::target_id &Target, base::duration Cost,
                             base::instant Now) {
  const auto Found = Records.find(Target);
  if (Found == Records.end() || !sampleActing(*Found->second, Now))
    return false;
  return !Found->second->expired(Now) && Found->second->Probes.take(Cost);
}

void target_owner::onProbeAnswer(const base::target_id &Target,
                                 const std::string &Incarnation, double Load,
                                 base::instant Now) {
  const auto Found = Records.find(Target);
  if (Found == Records.end())
    return;
  target_record &Record = *Found->second;
  const std::string Announced = Record.announced().Incarnation;
  if (Incarnation.empty() || Incarnation == Announced) {
    Record.onLoad(Announced, Load, Now);
    return;
  }
  Record.onObservation({.Target = Target,
                        .Incarnation = Announced,
                        .Kind = observation_kind::IncarnationDiffers,
                        .SeenIncarnation = Incarnation},
                       policyOf(Record), Now);
  notifyWhenChanged(Record, Now);
}

void target_owner::tick(base::instant Now) {
  for (const auto &[Id, Record] : Records) {
    sampleActing(*Record, Now);
    Record->Ledger.eraseVanished(Now);
    notifyWhenChanged(*Record, Now);
  }
  std::erase_if(Records, [&](const auto &Named) {
    return Now - Named.second->heardAt() > Options.ExpiredRetention;
  });
  std::erase_if(Entries, [&](const auto &Named) {
    return Now - Named.second.HeardAt > SequenceRetention;
  });
}

std::vector<base::target_id>
target_owner::actingTargets(base::instant Now) const {
  std::vector<base::target_id> Targets;
  for (const auto &[Id, Record] : Records) {
    if (mayAct(*Record, Now))
      Targets.push_back(Id);
  }
  return Targets;
}

std::vector<target_status> target_owner::status(base::instant Now) const {
  std::vector<target_status> All;
  All.reserve(Records.size());
  for (const auto &[Id, Record] : Records)
    All.push_back(Record->status(policyOf(*Record), Now));
  return All;
}

} // namespace fulmar::directory
