// Translations between the document's policies, the router and the directory.

#include "routingdesk.h"

#include "fulmar/routing/fingerprint.h"
#include "fulmar/telemetry/log.h"

#include <json/reader.h>

#include <algorithm>

namespace fulmar::entry {

namespace {

constexpr double Percent = 100;
constexpr double Permille = 1000;

std::string strategyOf(std::string Name) {
  // The document writes names with dashes.
  std::replace(Name.begin(), Name.end(), '-', '_');
  return Name;
}

std::vector<base::data_centre_name>
otherDataCentres(const document::service_policy &Policy,
                 const base::data_centre_name &Own) {
  std::vector<base::data_centre_name> Others;
  for (const std::string &Name : Policy.DataCentres) {
    if (Name != Own.str())
      Others.emplace_back(Name);
  }
  return Others;
}

routing::routing_policy routingPolicyOf(const document::service_policy &Policy,
                                        const directory::member &Self) {
  return {.Strategy = strategyOf(Policy.Pick),
          .QueueLength = static_cast<std::uint32_t>(Policy.QueueLength),
          .QueueTime = Policy.Queue,
          .Timeout = Policy.Timeout,
          .RetryBudgetPercent =
              static_cast<std::uint32_t>(Policy.RetryBudgetPercent),
          .MaxAttempts = static_cast<std::uint32_t>(Policy.MaxAttempts),
          .HedgeEnabled = Policy.Hedge,
          .HedgeQuantile =
              static_cast<double>(Policy.HedgeAfterPermille) / Permille,
          .MaxEjectedShare =
              static_cast<double>(Policy.OutlierSharePercent) / Percent,
          .OwnDataCentre = Self.DataCentre,
          .Nearness = otherDataCentres(Policy, Self.DataCentre),
          .SpillOverUtilisation =
              static_cast<double>(Policy.SpillOverPercent) / Percent};
}

directory::observation_kind kindOf(routing::observation_kind Kind) {
  switch (Kind) {
  case routing::observation_kind::Shed:
    return directory::observation_kind::Shed;
  case routing::observation_kind::ServiceTimeJump:
    return directory::observation_kind::Slow;
  case routing::observation_kind::Reset:
  case routing::observation_kind::IncarnationChanged:
    break;
  }
  return directory::observation_kind::Reset;
}

} // namespace

routing_desk::routing_desk(std::uint64_t Seed) : Router({.Seed = Seed}) {}

void routing_desk::setPolicies(const service_policies &Policies,
                               const directory::member &Self) {
  for (const auto &[Service, Policy] : Services) {
    if (!Policies.contains(Service))
      answer(Router.removeService(Service));
  }
  for (const auto &[Service, Policy] : Policies) {
    const auto Set = Router.setPolicy(Service, routingPolicyOf(Policy, Self));
    if (!Set.has_value())
      telemetry::logChange(
          telemetry::log_level::Error, "router", "policy-refused",
          {{"service", Service.str()}, {"error", Set.error().Message}});
  }
  Services = Policies;
}

void routing_desk::setQuarantines(const publication::published_items &Items,
                                  base::instant Now) {
  const std::string Prefix = publication::QuarantinePrefix;
  std::map<std::uint64_t, std::uint64_t> Published;
  for (const publication::item &Item : Items.withPrefix(Prefix)) {
    const auto Fingerprint =
        routing::parseFingerprint(Item.Key.substr(Prefix.size()));
    Json::Value Value;
    if (Fingerprint && Json::Reader().parse(Item.Value, Value) &&
        Value["until_ms"].isUInt64())
      Published[*Fingerprint] = Value["until_ms"].asUInt64();
  }
  const auto WallNow = std::chrono::system_clock::now();
  for (const auto &[Fingerprint, UntilMs] : Published) {
    const auto Until = std::chrono::system_clock::time_point(
        std::chrono::milliseconds(UntilMs));
    answer(Router.quarantinePublished(Fingerprint, Until, WallNow, Now));
  }
  for (const auto &[Fingerprint, UntilMs] : Quarantines) {
    if (!Published.contains(Fingerprint))
      Router.quarantineRemoved(Fingerprint);
  }
  Quarantines = std::move(Published);
}

void routing_desk::acquire(const acquire_permit &Request, base::instant Now) {
  const routing::acquire_result Result =
      Router.acquire(Request.Request, Request.Earlier, Now);
  answer(Result.OtherResults);
  if (const auto *Permit = std::get_if<routing::permit>(&Result.Answer))
    Request.Responder->set(*Permit);
  else if (const auto *Wait = std::get_if<routing::queued>(&Result.Answer))
    Waiting[Wait->Ticket] = Request.Responder;
  else
    Request.Responder->set(
        base::error{std::get<base::error_kind>(Result.Answer), "not admitted"});
}

void routing_desk::finish(const finish_permit &Finished, base::instant Now) {
  answer(
      Router.finish(Finished.Permit, Finished.Outcome, Finished.Request, Now));
}

void routing_desk::targetUnreachable(const base::target_id &Target,
                                     base::instant Now) {
  answer(Router.targetUnreachable(Target, Now));
}

void routing_desk::refresh(const directory::share_view &Shares,
                           base::instant Now) {
  for (const auto &[Service, Policy] : Services)
    answer(Router.candidatesChanged(Service, Shares.candidates(Service, Now),
                                    Now));
}

void routing_desk::tick(base::instant Now) { answer(Router.tick(Now)); }

directory::router_counters routing_desk::counters() const {
  directory::router_counters Counters;
  for (const auto &[Service, Policy] : Services) {
    const std::uint32_t Wanted = Router.demand(Service);
    Counters.Demands.push_back({.Service = Service, .Wanted = Wanted});
    for (const routing::target_in_flight &Target : Router.inFlight(Service))
      Counters.InFlight.push_back({.Target = Target.Target,
                                   .Incarnation = Target.Incarnation,
                                   .Count = Target.InFlight});
  }
  return Counters;
}

void routing_desk::reportObservations(directory::share_view &Shares,
                                      base::instant Now) {
  for (const routing::observation &Seen : Router.takeObservations()) {
    if (Seen.Kind == routing::observation_kind::IncarnationChanged)
      Shares.reportIncarnation(Seen.Target, Seen.Incarnation,
                               Seen.SeenIncarnation, Now);
    else
      Shares.reportAnomaly(Seen.Target, Seen.Incarnation, kindOf(Seen.Kind),
                           Now);
  }
}

void routing_desk::answer(const std::vector<routing::ticket_result> &Answers) {
  for (const routing::ticket_result &Answer : Answers) {
    const auto Found = Waiting.find(Answer.Ticket);
    if (Found == Waiting.end())
      continue;
    if (const auto *Permit = std::get_if<routing::permit>(&Answer.Answer))
      Found->second->set(*Permit);
    else
      Found->second->set(base::error{std::get<base::error_kind>(Answer.Answer),
                                     "gave up waiting"});
    Waiting.erase(Found);
  }
}

} // namespace fulmar::entry
