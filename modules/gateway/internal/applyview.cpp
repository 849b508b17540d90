// Applies a newer view of the fleet to the gateway's state.

#include "fulmar/telemetry/log.h"
#include "internal/gatewaystate.h"

#include <absl/random/distributions.h>

namespace fulmar::gateway {

namespace {

void applyPlan(gateway_state &State,
               const std::shared_ptr<const fleet::routing_plan> &Plan) {
  if (!Plan || Plan == State.Routes.plan())
    return;
  State.Routes = fleet::route_table(Plan);
  State.setServices(Plan->Services);
  std::map<std::string, traffic_splitter> TrafficSplitters;
  for (const fleet::route &Route : Plan->Routes) {
    if (Route.Shares.size() > 1)
      TrafficSplitters.emplace(
          Route.Name, traffic_splitter(absl::Uniform(State.Random, 0.0, 1.0)));
  }
  State.TrafficSplitters = std::move(TrafficSplitters);
  telemetry::logChange(telemetry::log_level::Info, "gateway", "plan-in-force",
                       {{"version", std::to_string(Plan->Version)},
                        {"routes", std::to_string(Plan->Routes.size())}});
}

void applyRelays(gateway_state &State, const fleet_view &View) {
  if (View.Relays && View.Relays != State.Relays) {
    State.Relays = View.Relays;
    State.RelayOrder =
        std::make_shared<const std::vector<placement::relay_peer>>(
            placement::relayOrder({.Id = State.Options.InstanceId,
                                   .DataCentre = State.Options.DataCentre,
                                   .Region = State.Options.Region},
                                  *View.Relays));
  }
  if (!State.RelayOrder)
    return;
  for (const service_ptr &Service : State.knownServices())
    Service->Relays.setPeers(State.RelayOrder);
}

void applyTargets(gateway_state &State, const fleet_view &View) {
  const base::instant Now = State.Loop.now();
  std::map<std::string, std::vector<fleet::target_report>> ByService;
  std::set<std::string> Keys;
  for (const fleet::target_report &Target : View.Targets) {
    ByService[Target.Service].push_back(Target);
    State.CrashWatch.incarnationSeen(base::target_id(Target.Id),
                                     std::to_string(Target.StartedAtMs), Now);
    Keys.insert(connection_pool::keyOf(Target));
  }
  for (const service_ptr &Service : State.knownServices()) {
    Service->Placement.setTargets(ByService[Service->Service.Name], Now);
    Service->Retries.setEntries(View.Entries.size());
  }
  State.Pool.keepOnly(Keys);
  State.ProbeBudget.setFleetSize(View.Targets.size(), View.Entries.size());
}

} // namespace

void gateway_state::setServices(const std::vector<fleet::service> &Described) {
  const base::instant Now = Loop.now();
  for (auto &[Name, Service] : Services)
    RetiredServices[Name] = {.Service = std::move(Service),
                             .RetriesCountUntil =
                                 Now + Options.RetryBudget.Window};
  Services.clear();
  for (const fleet::service &Service : Described) {
    service_ptr &Kept = Services[Service.Name];
    if (auto Found = RetiredServices.extract(Service.Name))
      Kept = std::move(Found.mapped().Service);
    if (Kept) {
      Kept->Service = Service;
      Kept->Placement.setWarmUpRate(Service.WarmUpRate);
      continue;
    }
    Kept = std::make_shared<service_state>(
        Service,
        placement::placement_options{.DataCentre = Options.DataCentre,
                                     .WarmUpRate = Service.WarmUpRate,
                                     .Seed = Random()},
        placement::placement_limiters{.Cold = ColdLimiter,
                                      .Announced = AnnouncedLimiter},
        Options.RetryBudget);
  }
}

void gateway_state::dropRetiredServices() {
  const base::instant Now = Loop.now();
  std::erase_if(RetiredServices, [Now](const auto &Retired) {
    return Retired.second.Service.use_count() == 1 &&
           Now >= Retired.second.RetriesCountUntil;
  });
}

std::vector<service_ptr> gateway_state::knownServices() const {
  std::vector<service_ptr> Known;
  for (const auto &[Name, Service] : Services)
    Known.push_back(Service);
  for (const auto &[Name, Retired] : RetiredServices)
    Known.push_back(Retired.Service);
  return Known;
}

void gateway_state::apply(const fleet_view &View) {
  if (View.Accounts != AccountSet) {
    AccountSet = View.Accounts;
    Accounts = accounts::account_directory(AccountSet);
    telemetry::logChange(
        telemetry::log_level::Info, "gateway", "accounts-in-force",
        {{"accounts", std::to_string(AccountSet->Accounts.size())},
         {"required", AccountSet->Required ? "yes" : "no"}});
  }
  dropRetiredServices();
  applyPlan(*this, View.Plan);
  ColdLimiter.setEntries(View.Entries);
  AnnouncedLimiter.setEntries(View.Entries);
  applyRelays(*this, View);
  setQuarantined(View.Quarantined);
  applyTargets(*this, View);
}

} // namespace fulmar::gateway
