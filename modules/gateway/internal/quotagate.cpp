// Batches and callbacks of token requests.

#include "internal/quotagate.h"

#include "internal/gatewaystate.h"

#include <utility>

namespace fulmar::gateway {

namespace {

using allotment::token_outcome;

/// Interval at which demands that wait are checked: some round trips.
constexpr auto CheckInterval = std::chrono::milliseconds(10);

const char *labelOf(token_outcome Outcome) {
  switch (Outcome) {
  case token_outcome::Granted:
    return "outcome=\"granted\"";
  case token_outcome::Exceeded:
    return "outcome=\"refused\"";
  case token_outcome::NoHolder:
    return "outcome=\"no_holder\"";
  }
  return "outcome=\"unknown\"";
}

} // namespace

quota_gate::quota_gate(gateway_state &Owner)
    : State(Owner), Client(Owner.Options.TokenLifetime), Timer(Owner.Loop) {}

std::uint64_t quota_gate::ask(const std::string &Account,
                              base::instant GivenUpAt, handler Done) {
  const std::uint64_t Ticket = ++LastTicket;
  const base::instant Now = State.Loop.now();
  Pending[Ticket] = {.Done = std::move(Done), .AskedAt = Now};
  if (const auto Answer = Client.ask(
          {.Ticket = Ticket, .Account = Account, .GivenUpAt = GivenUpAt}, Now))
    run({*Answer});
  else
    scheduleFlush();
  return Ticket;
}

void quota_gate::forget(std::uint64_t Ticket) {
  if (Pending.erase(Ticket) > 0)
    Client.forget(Ticket);
}

void quota_gate::giveBack(const std::string &Account, base::instant ExpiresAt) {
  Client.giveBack(Account, ExpiresAt, State.Loop.now());
}

void quota_gate::answer(const fleetlink::allotment_reply &Reply) {
  run(Client.answer(Reply, State.Loop.now()));
}

void quota_gate::holderChanged() {
  Client.holderChanged();
  flush();
}

void quota_gate::scheduleFlush() {
  if (std::exchange(FlushScheduled, true))
    return;
  State.Loop.post([this, Token = std::weak_ptr(LifetimeToken)] {
    if (!Token.expired())
      flush();
  });
}

void quota_gate::flush() {
  FlushScheduled = false;
  if (Client.idle())
    return Timer.cancel();
  Timer.after(CheckInterval, [this] { tick(); });
  if (!State.Options.HolderKnown || !State.Options.HolderKnown())
    return;
  if (const auto Request = Client.takeRequest(State.Loop.now()))
    State.Options.AskForTokens(*Request);
}

void quota_gate::tick() {
  run(Client.expire(State.Loop.now()));
  flush();
}

void quota_gate::run(const std::vector<allotment::token_answer> &Answers) {
  for (const allotment::token_answer &Answer : Answers) {
    const auto Found = Pending.find(Answer.Ticket);
    if (Found == Pending.end())
      continue;
    State.Metrics
        .counterOf("fulmar_quota_decisions_total", labelOf(Answer.Outcome))
        .add();
    State.Metrics.latencyOf("fulmar_quota_wait_seconds")
        .record(State.Loop.now() - Found->second.AskedAt);
    const handler Done = std::move(Found->second.Done);
    Pending.erase(Found);
    Done(Answer);
  }
}

} // namespace fulmar::gateway
