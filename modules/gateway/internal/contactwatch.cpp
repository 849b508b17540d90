#include "internal/contactwatch.h"

#include "fulmar/telemetry/log.h"
#include "internal/gatewaystate.h"

#include <algorithm>

namespace fulmar::gateway {

void contact_watch::answered(service_state &Service,
                             const std::string &Target) {
  const base::instant Now = State.Loop.now();
  if (Service.Contact.answered(Now) != placement::contact_change::Regained)
    return;
  telemetry::logChange(
      telemetry::log_level::Warning, "gateway", "targets-regained",
      {{"service", Service.Service.Name},
       {"target", Target},
       {"lost_ms",
        std::to_string(toMilliseconds(Now - Service.Contact.lostAt()))}});
  updateGauge();
}

void contact_watch::silent(service_state &Service, const std::string &Target,
                           base::instant AskedAt) {
  const base::instant Now = State.Loop.now();
  const auto Change =
      Service.Contact.silent(Target, Service.Placement.size(), AskedAt, Now);
  if (Change != placement::contact_change::Lost)
    return;
  const auto LastAnswer = Service.Contact.lastAnswer();
  telemetry::logChange(
      telemetry::log_level::Warning, "gateway", "targets-lost",
      {{"service", Service.Service.Name},
       {"silent", std::to_string(Service.Contact.silentCount())},
       {"listed", std::to_string(Service.Placement.size())},
       {"last_answer_ms_ago",
        LastAnswer ? std::to_string(toMilliseconds(Now - *LastAnswer)) : ""}});
  updateGauge();
}

void contact_watch::updateGauge() const {
  State.Metrics.gaugeOf("fulmar_services_without_contact")
      .set(std::count_if(
          State.Services.begin(), State.Services.end(),
          [](const auto &Entry) { return Entry.second->Contact.lost(); }));
}

} // namespace fulmar::gateway
