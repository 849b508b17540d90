// Dispatches each event to the router of its service and updates the crash
// evidence.

#include "fulmar/routing/router.h"

#include "fulmar/routing/retrydecision.h"
#include "internal/servicerouter.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fulmar::routing {

namespace {

template <typename Item>
void append(std::vector<Item> &All, std::vector<Item> More) {
  std::move(More.begin(), More.end(), std::back_inserter(All));
}

} // namespace

router::router(router_options Options) : Random(Options.Seed) {}

router::~router() = default;

service_router *router::find(const base::service_name &Service) const {
  const auto Found = Services.find(Service);
  return Found == Services.end() ? nullptr : Found->second.get();
}

base::result<void> router::setPolicy(const base::service_name &Service,
                                     const routing_policy &Policy) {
  auto Strategy = makeStrategy(Policy.Strategy);
  if (!Strategy)
    return base::fail(base::error_kind::InvalidDocument,
                      "unknown strategy " + Policy.Strategy);
  std::unique_ptr<service_router> &Found = Services[Service];
  if (!Found)
    Found = std::make_unique<service_router>(Random, LastId);
  Found->setPolicy(Policy, std::move(Strategy));
  return base::success();
}

std::vector<ticket_result>
router::removeService(const base::service_name &Service) {
  service_router *Found = find(Service);
  return Found == nullptr ? std::vector<ticket_result>{} : Found->remove();
}

std::vector<ticket_result>
router::candidatesChanged(const base::service_name &Service,
                          const std::vector<candidate> &Candidates,
                          base::instant Now) {
  service_router *Found = find(Service);
  if (Found == nullptr)
    return {};
  std::vector<ticket_result> Answers;
  for (const candidate &Listed : Candidates)
    append(Answers, refuseWaiters(Crashes.incarnationSeen(
                        Listed.Target, Listed.Incarnation, Now)));
  append(Answers, Found->candidatesChanged(Candidates, Now));
  return Answers;
}

acquire_result router::acquire(const request_profile &Request,
                               std::span<const attempt> Earlier,
                               base::instant Now) {
  service_router *Found = find(Request.Service);
  if (Found == nullptr || Found->removed())
    return {.Answer =
                finalErrorKind(Earlier, base::error_kind::UnknownService)};
  if (Crashes.quarantined(Request.Fingerprint, Now))
    return {.Answer = finalErrorKind(Earlier, base::error_kind::Quarantined)};
  return Found->acquire(Request, Earlier, Now);
}

std::vector<ticket_result> router::finish(const permit &Permit,
                                          const attempt &Outcome,
                                          const request_profile &Request,
                                          base::instant Now) {
  service_router *Found = find(Request.Service);
  auto Answers = recordCrashEvidence(Permit, Outcome, Request.Fingerprint, Now);
  if (Found != nullptr)
    append(Answers, Found->finish(Permit, Outcome, Now));
  return Answers;
}

std::vector<ticket_result>
router::targetUnreachable(const base::target_id &Target, base::instant Now) {
  return refuseWaiters(Crashes.unreachable(Target, Now));
}

void router::cancel(const base::service_name &Service, ticket_id Ticket) {
  if (service_router *Found = find(Service))
    Found->cancel(Ticket);
}

std::vector<ticket_result> router::tick(base::instant Now) {
  Crashes.expire(Now);
  std::erase_if(Services, [](const auto &Entry) {
    return Entry.second->removed() && Entry.second->demand() == 0;
  });
  std::vector<ticket_result> Answers;
  for (const auto &[Name, Service] : Services)
    append(Answers, Service->tick(Now));
  return Answers;
}

std::uint32_t router::demand(const base::service_name &Service) const {
  const service_router *Found = find(Service);
  return Found == nullptr ? 0 : Found->demand();
}

std::vector<target_in_flight>
router::inFlight(const base::service_name &Service) const {
  const service_router *Found = find(Service);
  return Found == nullptr ? std::vector<target_in_flight>{} : Found->inFlight();
}

std::vector<target_health_report>
router::targets(const base::service_name &Service) const {
  const service_router *Found = find(Service);
  return Found == nullptr ? std::vector<target_health_report>{}
                          : Found->targets();
}

std::size_t router::waiting() const {
  std::size_t Count = 0;
  for (const auto &[Name, Service] : Services)
    Count += Service->waiting();
  return Count;
}

std::vector<observation> router::takeObservations() {
  std::vector<observation> Observations;
  for (const auto &[Name, Service] : Services)
    append(Observations, Service->takeObservations());
  return Observations;
}

std::vector<crash_report> router::takeCrashReports() {
  return Crashes.takeReports();
}

std::vector<ticket_result>
router::recordCrashEvidence(const permit &Permit, const attempt &Outcome,
                            std::uint64_t Fingerprint, base::instant Now) {
  const base::target_id &Target = Permit.Target.Target;
  std::vector<ticket_result> Answers;
  if (!Outcome.Incarnation.empty())
    append(Answers, refuseWaiters(Crashes.incarnationSeen(
                        Target, Outcome.Incarnation, Now)));
  if (Outcome.End == attempt_end::NotConnected && !Outcome.BytesSent)
    append(Answers, refuseWaiters(Crashes.unreachable(Target, Now)));
  if (Fingerprint == 0)
    return Answers;
  if (Outcome.End == attempt_end::Answered && Outcome.Status < 500)
    Crashes.answered(Fingerprint, Now);
  if (Outcome.End == attempt_end::Broken && Outcome.BytesSent)
    Crashes.broken({.Fingerprint = Fingerprint,
                    .Target = Target,
                    .Incarnation = Permit.Target.Incarnation},
                   Now);
  return Answers;
}

std::vector<ticket_result>
router::refuseWaiters(const std::vector<std::uint64_t> &Fingerprints) {
  std::vector<ticket_result> Answers;
  if (Fingerprints.empty())
    return Answers;
  const auto Matches = [&Fingerprints](const waiter &Waiter) {
    return std::find(Fingerprints.begin(), Fingerprints.end(),
                     Waiter.Request.Fingerprint) != Fingerprints.end();
  };
  for (const auto &[Name, Service] : Services)
    append(Answers, Service->refuse(Matches, base::error_kind::Quarantined));
  return Answers;
}

std::vector<ticket_result> router::quarantinePublished(
    std::uint64_t Fingerprint, std::chrono::system_clock::time_point Until,
    std::chrono::system_clock::time_point WallNow, base::instant Now) {
  Crashes.publish(Fingerprint, Until, WallNow, Now);
  if (!Crashes.quarantined(Fingerprint, Now))
    return {};
  return refuseWaiters({Fingerprint});
}

void router::quarantineRemoved(std::uint64_t Fingerprint) {
  Crashes.withdraw(Fingerprint);
}

} // namespace fulmar::routing
