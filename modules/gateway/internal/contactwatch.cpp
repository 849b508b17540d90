#include "internal/contactwatch.h"

#include "fulmar/telemetry/log.h"
#include "internal/gatewaystate.h"
#include "internal/targetprobe.h"

#include <algorithm>

namespace fulmar::gateway {

namespace {

/// Finds the end of a partition well within a second, with few probes.
constexpr base::duration CheckInterval = std::chrono::milliseconds(200);
/// Targets probed of each other service: enough to tell that contact is lost.
constexpr std::size_t OtherServiceProbes = 3;
/// A service that answered more recently has contact.
constexpr base::duration RecentAnswer = std::chrono::milliseconds(100);

} // namespace

contact_watch::contact_watch(gateway_state &Owner)
    : State(Owner), CheckTimer(Owner.Loop) {}

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
  Service.Placement.contactRegained(Service.Contact.lostAt());
  updateGauge();
}

void contact_watch::silent(service_state &Service, const std::string &Target,
                           base::instant AskedAt) {
  const base::instant Now = State.Loop.now();
  // The others can't be silent, because they are not asked.
  const std::size_t Askable =
      std::max<std::size_t>(1, Service.Placement.candidateCount(Now));
  const auto Change = Service.Contact.silent(Target, Askable, AskedAt, Now);
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
  CheckTimer.after(CheckInterval, [this] { check(); });
  checkOthers(Service);
}

void contact_watch::check() {
  ChecksNewConnection = !ChecksNewConnection;
  bool AnyLost = false;
  // A copy, because a probe may end the loss of a service.
  const auto Services = State.Services;
  for (const auto &[Name, Service] : Services) {
    if (!Service->Contact.lost())
      continue;
    AnyLost = true;
    probe(Service, 1);
  }
  updateGauge();
  if (AnyLost)
    CheckTimer.after(CheckInterval, [this] { check(); });
}

void contact_watch::checkOthers(const service_state &Lost) {
  const base::instant Since = State.Loop.now() - RecentAnswer;
  for (const auto &[Name, Service] : State.Services) {
    if (Service.get() != &Lost && !Service->Contact.lost() &&
        !Service->Contact.answeredSince(Since))
      probe(Service, OtherServiceProbes);
  }
}

void contact_watch::probe(const std::shared_ptr<service_state> &Service,
                          std::size_t Count) {
  const base::instant Now = State.Loop.now();
  const auto Ids = Service->Placement.candidates(
      {.Count = State.ProbeBudget.take(Count, Now), .WidenSearch = true}, Now);
  for (const std::string &Id : Ids) {
    const auto Probe = std::make_shared<target_probe>(
        State, Service, *Service->Placement.find(Id));
    if (ChecksNewConnection) {
      Probe->startOnNewConnection();
    } else {
      Probe->start([] {});
      Probe->release();
    }
  }
}

void contact_watch::updateGauge() const {
  State.Metrics.gaugeOf("fulmar_services_without_contact")
      .set(std::count_if(
          State.Services.begin(), State.Services.end(),
          [](const auto &Entry) { return Entry.second->Contact.lost(); }));
}

} // namespace fulmar::gateway
