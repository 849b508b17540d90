#include "fulmar/directory/shareview.h"

#include <algorithm>
#include <utility>

namespace fulmar::directory {

namespace {

/// How long the owner of an unused target is remembered.
constexpr base::duration SourceRetention = std::chrono::minutes(1);
/// Maximum number of observations queued for one owner. Dropping further ones
/// is safe because the affected grant is removed immediately in any case.
constexpr std::size_t MaxObservations = 64;

} // namespace

share_view::share_view(share_view_options Given, const ownership &Views,
                       const freshness &Proofs)
    : Options(std::move(Given)), Ownership(Views), Freshness(Proofs) {}

std::vector<base::instance_id> share_view::owners() const {
  std::vector<base::instance_id> Live;
  for (const member &Member : Ownership.view().members()) {
    if (!Member.Stopping)
      Live.push_back(Member.Id);
  }
  return Live;
}

bool share_view::isReportedTo(const base::instance_id &Owner,
                              const base::target_id &Target) const {
  const auto Found = Sources.find(Target);
  if (Found == Sources.end())
    return true;
  return Found->second.Owner == Owner ||
         Ownership.ownerOf(Target, Found->second.DataCentre) == Owner;
}

share_request share_view::nextRequest(const base::instance_id &Owner,
                                      const router_counters &Counters,
                                      base::instant Now) {
  owner_state &State = Owners[Owner];
  share_request Request{.Entry = Options.Self,
                        .Incarnation = Options.Incarnation,
                        .Sequence = ++State.Sequence,
                        .Applied = State.Applied,
                        .SentAt = Now.time_since_epoch(),
                        .Demands = Counters.Demands};
  for (const target_in_flight &InFlight : Counters.InFlight) {
    const auto Used = Sources.find(InFlight.Target);
    if (Used != Sources.end())
      Used->second.UsedAt = Now;
    if (isReportedTo(Owner, InFlight.Target))
      Request.InFlight.push_back(InFlight);
  }
  for (unsent_observation &Unsent : State.Observations) {
    if (Unsent.Sequence == 0)
      Unsent.Sequence = State.Sequence;
    Request.Observations.push_back(Unsent.Observation);
  }
  State.SentAt[State.Sequence] = Now;
  eraseExpired(Now);
  return Request;
}

void share_view::eraseExpired(base::instant Now) {
  for (auto &[Owner, State] : Owners)
    std::erase_if(State.SentAt, [&](const auto &Sent) {
      return Now - Sent.second > Options.Permission.Grant;
    });
  std::erase_if(Anomalies, [&](const auto &Anomaly) {
    return Now - Anomaly.second.ObservedAt > Options.Permission.Grant;
  });
  std::erase_if(Grants, [&](const auto &Held) {
    return Now - Held.second.SentAt > Options.Permission.Grant;
  });
  std::erase_if(Sources, [&](const auto &Source) {
    return Now - Source.second.UsedAt > SourceRetention;
  });
}

bool share_view::reducesGrants(const base::instance_id &Owner,
                               const share_answer &Answer) const {
  return std::any_of(Grants.begin(), Grants.end(), [&](const auto &Held) {
    if (Held.second.Owner != Owner)
      return false;
    const auto Kept = std::find_if(
        Answer.Grants.begin(), Answer.Grants.end(),
        [&](const grant &Grant) { return Grant.Target == Held.first; });
    return Kept == Answer.Grants.end() ||
           Kept->Granted < Held.second.Grant.Granted;
  });
}

bool share_view::onAnswer(const base::instance_id &Owner,
                          const share_answer &Answer, base::instant Now) {
  owner_state &State = Owners[Owner];
  const auto Sent = State.SentAt.find(Answer.Sequence);
  // Send times are kept only for requests after the last one applied, so this
  // answer is outdated or was not requested.
  if (Sent == State.SentAt.end())
    return false;
  const bool ReducesGrants = reducesGrants(Owner, Answer);
  const base::instant SentAt = Sent->second;
  State.Applied = Answer.Sequence;
  State.SentAt.erase(State.SentAt.begin(), std::next(Sent));
  std::erase_if(State.Observations, [&](const unsent_observation &Unsent) {
    return Unsent.Sequence != 0 && Unsent.Sequence <= Answer.Sequence;
  });
  std::erase_if(Grants,
                [&](const auto &Held) { return Held.second.Owner == Owner; });
  for (const grant &Grant : Answer.Grants)
    storeGrant(Owner, Grant, SentAt, Now);
  return ReducesGrants;
}

void share_view::storeGrant(const base::instance_id &Owner, const grant &Grant,
                            base::instant SentAt, base::instant Now) {
  Sources[Grant.Target] = {
      .Owner = Owner, .DataCentre = Grant.DataCentre, .UsedAt = Now};
  const auto Anomaly = Anomalies.find(Grant.Target);
  if (Anomaly != Anomalies.end() &&
      Anomaly->second.Incarnation == Grant.Incarnation &&
      SentAt <= Anomaly->second.ObservedAt)
    return;
  held_grant &Held = Grants[Grant.Target];
  if (Held.SentAt <= SentAt)
    Held = {.Grant = Grant, .Owner = Owner, .SentAt = SentAt};
}

std::vector<routing::candidate>
share_view::candidates(const base::service_name &Service,
                       base::instant Now) const {
  std::vector<routing::candidate> Usable;
  if (!Freshness.mayStartWork(Now))
    return Usable;
  const base::duration Validity = Options.Permission.Grant - Options.MaxListAge;
  for (const auto &[Target, Held] : Grants) {
    const grant &Grant = Held.Grant;
    // Grants of an earlier owner become invalid when the view changes, so that
    // they do not add to those of the new owner.
    if (Grant.Service != Service || Grant.Granted == 0 ||
        Now - Held.SentAt >= Validity ||
        !Ownership.view().inService(Grant.DataCentre) ||
        Ownership.ownerOf(Target, Grant.DataCentre) != Held.Owner)
      continue;
    Usable.push_back({.Target = Target,
                      .Address = Grant.Address,
                      .DataCentre = Grant.DataCentre,
                      .Incarnation = Grant.Incarnation,
                      .Granted = Grant.Granted,
                      .ReportedLoad = Grant.Load,
                      .ReportAge = Grant.ReportAge + (Now - Held.SentAt)});
  }
  return Usable;
}

void share_view::reportIncarnation(const base::target_id &Target,
                                   const std::string &BelievedIncarnation,
                                   const std::string &SeenIncarnation,
                                   base::instant Now) {
  if (SeenIncarnation == BelievedIncarnation)
    return;
  recordObservation({.Target = Target,
                     .Incarnation = BelievedIncarnation,
                     .Kind = observation_kind::IncarnationDiffers,
                     .SeenIncarnation = SeenIncarnation},
                    Now);
}

void share_view::reportAnomaly(const base::target_id &Target,
                               const std::string &Incarnation,
                               observation_kind Kind, base::instant Now) {
  recordObservation(
      {.Target = Target, .Incarnation = Incarnation, .Kind = Kind}, Now);
}

void share_view::recordObservation(observation Observation, base::instant Now) {
  const auto Held = Grants.find(Observation.Target);
  if (Held != Grants.end() &&
      Held->second.Grant.Incarnation == Observation.Incarnation)
    Grants.erase(Held);
  Anomalies[Observation.Target] = {.Incarnation = Observation.Incarnation,
                                   .ObservedAt = Now};
  const auto Source = Sources.find(Observation.Target);
  if (Source == Sources.end())
    return;
  auto &Waiting = Owners[Source->second.Owner].Observations;
  const bool Known = std::any_of(Waiting.begin(), Waiting.end(),
                                 [&](const unsent_observation &Unsent) {
                                   return Unsent.Observation == Observation;
                                 });
  if (!Known && Waiting.size() < MaxObservations)
    Waiting.push_back({.Observation = std::move(Observation)});
}

} // namespace fulmar::directory
