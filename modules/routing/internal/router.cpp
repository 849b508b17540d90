// Hands each event to the machine of its service.

#include "fulmar/routing/router.h"

#include "fulmar/routing/verdict.h"
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

std::vector<ticket_answer>
router::removeService(const base::service_name &Service) {
  service_router *Found = find(Service);
  if (Found == nullptr)
    return {};
  auto Answers = Found->refuseAll(base::error_kind::UnknownService);
  Services.erase(Service);
  return Answers;
}

std::vector<ticket_answer>
router::candidatesChanged(const base::service_name &Service,
                          const std::vector<candidate> &Candidates,
                          base::instant Now) {
  service_router *Found = find(Service);
  if (Found == nullptr)
    return {};
  return Found->candidatesChanged(Candidates, Now);
}

acquire_result router::acquire(const request_profile &Request,
                               std::span<const attempt> Earlier,
                               base::instant Now) {
  service_router *Found = find(Request.Service);
  if (Found == nullptr)
    return {.Answer = givenUpKind(Earlier, base::error_kind::UnknownService)};
  return Found->acquire(Request, Earlier, Now);
}

std::vector<ticket_answer> router::finish(const permit &Permit,
                                          const attempt &Outcome,
                                          const request_profile &Request,
                                          base::instant Now) {
  service_router *Found = find(Request.Service);
  if (Found == nullptr)
    return {};
  return Found->finish(Permit, Outcome, Now);
}

void router::cancel(const base::service_name &Service, ticket_id Ticket) {
  if (service_router *Found = find(Service))
    Found->cancel(Ticket);
}

std::vector<ticket_answer> router::tick(base::instant Now) {
  std::vector<ticket_answer> Answers;
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

std::vector<target_preference>
router::preferences(const base::service_name &Service) const {
  const service_router *Found = find(Service);
  return Found == nullptr ? std::vector<target_preference>{}
                          : Found->preferences();
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

} // namespace fulmar::routing
