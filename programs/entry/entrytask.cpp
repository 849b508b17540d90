// The loop of the entry's task and its periodic work.

#include "entrytask.h"

#include "fulmar/telemetry/log.h"

#include <random>

namespace fulmar::entry {

namespace {

constexpr auto LoopWait = std::chrono::milliseconds(5);
constexpr auto PeriodicInterval = std::chrono::milliseconds(5);
constexpr auto SyncInterval = std::chrono::milliseconds(250);
constexpr auto SyncTimeout = std::chrono::milliseconds(900);
constexpr auto AnswerWait = std::chrono::seconds(2);

proxy::service_policy proxyPolicyOf(const document::service_policy &Policy) {
  constexpr std::uint64_t Kilobyte = 1024;
  return {.Timeout = Policy.Timeout,
          .MaxBodyBytes =
              static_cast<std::uint64_t>(Policy.MaxBodyKilobytes) * Kilobyte,
          .AllIdempotent = Policy.IdempotentPosts};
}

} // namespace

entry_task::entry_task(const entry_options &Settings, control_caller &Caller,
                       telemetry::metrics &Registry)
    : Metrics(Registry),
      Knowledge({.Self = Settings.Self,
                 .ControlAddresses = Settings.ControlAddresses}),
      Shares(Knowledge,
             [this](base::instance_id Owner, json_result Answer) {
               Inbox.post(share_answered{std::move(Owner), std::move(Answer)});
             }),
      Desk(std::random_device()()), Crashes(Caller),
      Checker([this](base::target_id Target) {
        Inbox.post(target_unreachable{std::move(Target)});
      }) {
  Knowledge.Changed.subscribe(
      [this](const base::instant &Now) { onItemsChanged(Now); });
}

entry_task::~entry_task() { stop(); }

void entry_task::start() {
  Thread = std::thread([this] { run(); });
}

void entry_task::stop() {
  Ending.store(true);
  Inbox.close();
  if (Thread.joinable())
    Thread.join();
}

json_result entry_task::call(const std::string &Method,
                             const Json::Value &Parameters) {
  const auto Responder = std::make_shared<base::reply_slot<json_result>>();
  if (!Inbox.post(rpc_call{Method, Parameters, Responder}))
    return base::fail(base::error_kind::Stopping, "this entry has stopped");
  auto Answer = Responder->wait(AnswerWait);
  if (!Answer)
    return base::fail(base::error_kind::Timeout, "the entry did not answer");
  return *Answer;
}

void entry_task::run() {
  while (!Ending.load()) {
    const auto Messages = Inbox.takeAll(LoopWait);
    const base::instant Now = Clock.now();
    for (const task_message &Message : Messages)
      std::visit([this, Now](const auto &Item) { take(Item, Now); }, Message);
    if (Now - PeriodicAt >= PeriodicInterval)
      runPeriodic(Now);
  }
}

void entry_task::runPeriodic(base::instant Now) {
  PeriodicAt = Now;
  askParent(Now);
  Shares.tick(Now);
  Desk.reportObservations(Shares.view(), Now);
  Shares.askOwners(Desk.counters(), Desk.waiting() > 0, Now);
  Desk.refresh(Shares.view(), Now);
  Desk.tick(Now);
  for (routing::crash_report &Report : Desk.takeCrashReports())
    Crashes.report(std::move(Report));
  noteFreshness(Now);
  Metrics.gaugeOf("fulmar_entry_waiting_requests")
      .set(static_cast<std::int64_t>(Desk.waiting()));
}

void entry_task::askParent(base::instant Now) {
  if (Now - AskedAt < SyncInterval)
    return;
  const std::string Parent = Knowledge.parent(Now);
  if (!ParentLink || ParentLink->address() != Parent)
    ParentLink = std::make_unique<wire::rpc_link>(Parent);
  if (ParentLink->pending() > 0)
    return;
  AskedAt = Now;
  ParentLink->post({.Method = "entry.sync",
                    .Parameters = Knowledge.syncRequest(Now),
                    .Timeout = SyncTimeout,
                    .Completion = [this, Parent, Now](const auto &Outcome) {
                      Inbox.post(sync_answered{Parent, Now, Outcome});
                    }});
}

void entry_task::noteFreshness(base::instant Now) {
  const auto Age = Knowledge.freshness().age(Now);
  constexpr std::int64_t Unknown = -1;
  Metrics.gaugeOf("fulmar_entry_proof_age_ms")
      .set(Age ? std::chrono::duration_cast<std::chrono::milliseconds>(*Age)
                     .count()
               : Unknown);
  const bool HasPermission = Knowledge.freshness().mayStartWork(Now);
  if (HasPermission == HadPermission)
    return;
  HadPermission = HasPermission;
  telemetry::logChange(
      HasPermission ? telemetry::log_level::Info
                    : telemetry::log_level::Warning,
      "entry", HasPermission ? "permission-gained" : "permission-lost",
      {{"serial", std::to_string(Knowledge.items().latest())}});
}

void entry_task::onItemsChanged(base::instant Now) {
  const service_policies Policies = readServicePolicies(Knowledge);
  Shares.onItemsChanged(Now);
  Shares.setPolicies(Policies);
  Desk.setPolicies(Policies, Knowledge.self());
  Desk.setQuarantines(Knowledge.items(), Now);
  // A data centre may have left, or an owner.
  Desk.refresh(Shares.view(), Now);
  front_view::policy_map Visible;
  for (const auto &[Service, Policy] : Policies)
    Visible.emplace(Service, proxyPolicyOf(Policy));
  std::string Others;
  for (const std::string &Address : entriesFor(base::service_name())) {
    if (Address != Knowledge.self().Address)
      Others += (Others.empty() ? "" : ",") + Address;
  }
  Front.replace({.Policies = std::move(Visible),
                 .OtherEntries = std::move(Others),
                 .KeptAnswer = Knowledge.policy().EntriesAnswer});
  Metrics.gaugeOf("fulmar_entry_serial")
      .set(static_cast<std::int64_t>(Knowledge.items().latest()));
}

void entry_task::take(const acquire_permit &Request, base::instant Now) {
  if (!Knowledge.freshness().mayStartWork(Now))
    return Request.Responder->set(
        base::error{base::error_kind::StaleKnowledge,
                    "this entry has no recent proof of what is in force"});
  Desk.acquire(Request, Now);
}

void entry_task::take(const finish_permit &Finished, base::instant Now) {
  Desk.finish(Finished, Now);
  Desk.reportObservations(Shares.view(), Now);
  // The target gets no further request until its owner grants again, so that
  // only a check can tell whether it is gone.
  if (Finished.Outcome.End == routing::attempt_end::Broken)
    Checker.check(
        {Finished.Permit.Target.Target, Finished.Permit.Target.Address});
}

void entry_task::take(const target_unreachable &Refused, base::instant Now) {
  Desk.targetUnreachable(Refused.Target, Now);
}

void entry_task::take(const sync_answered &Answered, base::instant Now) {
  Knowledge.onSyncAnswer(Answered.Parent, Answered.SentAt, Answered.Answer,
                         Now);
}

void entry_task::take(const share_answered &Answered, base::instant Now) {
  Shares.onAnswer(Answered.Owner, Answered.Answer, Now);
  Desk.refresh(Shares.view(), Now);
}

void entry_task::take(const target_observed &Observed, base::instant Now) {
  if (!Observed.Seen.empty() && Observed.Seen != Observed.Believed)
    Shares.view().reportIncarnation(Observed.Target, Observed.Believed,
                                    Observed.Seen, Now);
  Desk.refresh(Shares.view(), Now);
}

void entry_task::take(const begin_stop & /*Stop*/, base::instant Now) {
  Stopping = true;
  Knowledge.setStopping();
  // Tells the parent at once.
  AskedAt = base::instant{};
  askParent(Now);
}

} // namespace fulmar::entry
