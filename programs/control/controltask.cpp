// The loop of the control task and what it does with the log's outputs.

#include "controltask.h"

#include "commandcodec.h"

#include "fulmar/telemetry/log.h"

#include <random>

namespace fulmar::control {

namespace {

constexpr auto LoopWait = std::chrono::milliseconds(20);
constexpr auto AnswerWait = std::chrono::seconds(5);
constexpr auto AdvanceInterval = std::chrono::seconds(30);

std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

consensus::replicated_log_options logOptions(const control_options &Options) {
  consensus::replicated_log_options Log{.Folder = Options.DataFolder};
  Log.Replica.Id = Options.Id;
  Log.Replica.Bootstrap = Options.Bootstrap;
  for (const auto &[Id, Address] : Options.Peers)
    Log.Replica.InitialVoters.push_back(Id);
  Log.Replica.Seed = std::random_device()();
  return Log;
}

} // namespace

control_task::control_task(control_options Settings,
                           telemetry::metrics &Registry)
    : Options(std::move(Settings)), Metrics(Registry), Members(State) {}

control_task::~control_task() { stop(); }

base::result<void> control_task::start() {
  BOOST_OUTCOME_TRY(Opened,
                    consensus::replicated_log::open(logOptions(Options), Files,
                                                    State, Clock.now()));
  Log = std::move(Opened);
  for (const auto &[Id, Address] : Options.Peers) {
    if (Id != Options.Id)
      Links[Id] = std::make_unique<wire::rpc_link>(Address);
  }
  Thread = std::thread([this] { run(); });
  return base::success();
}

void control_task::stop() {
  Stopping.store(true);
  Inbox.close();
  if (Thread.joinable())
    Thread.join();
}

rpc_result control_task::call(const std::string &Method,
                              const Json::Value &Parameters) {
  const auto Proof = proveToken(Method, Parameters);
  if (!Proof.has_value())
    return Proof.error();
  const auto Responder = std::make_shared<base::reply_slot<rpc_result>>();
  if (!Inbox.post(rpc_call{Method, Parameters, Responder, Proof.value()}))
    return base::fail(base::error_kind::Stopping, "instance is stopping");
  auto Answer = Responder->wait(AnswerWait);
  if (!Answer)
    return base::fail(base::error_kind::NoQuorum,
                      "no quorum answered in time; the outcome is unknown");
  return *Answer;
}

/// Hashing takes milliseconds, so that it is done on the caller's thread.
base::result<controlstate::token_proof>
control_task::proveToken(const std::string &Method,
                         const Json::Value &Parameters) {
  if (!Parameters.isObject() || !Parameters["token"].isString())
    return controlstate::token_proof();
  for (const char *Name : {"section", "name", "content"}) {
    if (Parameters.isMember(Name) && !Parameters[Name].isString())
      return base::fail(base::error_kind::BadRequest,
                        std::string(Name) + ": expected a text");
  }
  const auto Hash = std::make_shared<base::reply_slot<std::string>>();
  if (!Inbox.post(ask_required_hash{Method, Parameters, Hash}))
    return base::fail(base::error_kind::Stopping, "instance is stopping");
  const auto Required = Hash->wait(AnswerWait);
  if (!Required)
    return base::fail(base::error_kind::NoQuorum, "the instance is busy");
  return controlstate::makeTokenProof(Parameters["token"].asString(),
                                      sectionOf(Method, Parameters), *Required);
}

void control_task::run() {
  while (!Stopping.load() && !Failed.load()) {
    const auto Messages = Inbox.takeAll(LoopWait);
    const base::instant Now = Clock.now();
    for (const task_message &Message : Messages)
      std::visit([this, Now](const auto &Item) { take(Item, Now); }, Message);
    Log->tick(Now);
    proposeDue(Now);
    carryOut(Log->flush(Now), Now);
    forwardReports(Now);
    updateMetrics(Now);
  }
}

void control_task::take(const begin_stop & /*Stop*/, base::instant Now) {
  if (Leads.load())
    (void)Log->transferLeadership("", Now);
}

void control_task::take(const ask_required_hash &Question,
                        base::instant /*Now*/) {
  const Json::Value &Parameters = Question.Parameters;
  if (Question.Method == "data_centre.set")
    return Question.Responder->set(
        State.requiredHashOfDataCentre(Parameters["name"].asString()));
  Question.Responder->set(State.requiredHash(Parameters["section"].asString(),
                                             Parameters["content"].asString(),
                                             Options.AdministratorHash));
}

void control_task::take(const rpc_call &Call, base::instant Now) {
  const auto Found = handlers().find(Call.Method);
  if (Found != handlers().end())
    return Call.Responder->set((this->*Found->second)(Call.Parameters, Now));
  if (Call.Method == "control.set_voters")
    return setVoters(Call, Now);
  propose(Call, Now);
}

base::error control_task::notLeader(const std::string &Other) const {
  const auto Found = Options.Peers.find(Other);
  return {base::error_kind::NotLeader,
          Found == Options.Peers.end() ? "" : Found->second};
}

void control_task::propose(const rpc_call &Call, base::instant Now) {
  if (!Leads.load())
    return Call.Responder->set(notLeader(Leader));
  auto Body = commandOf(Call.Method, Call.Parameters, Call.Proof);
  if (!Body.has_value())
    return Call.Responder->set(Body.error());
  const auto Ticket =
      Log->propose(controlstate::encodeCommand(
                       {.WallMs = wallMs(), .Body = std::move(Body).value()}),
                   Now);
  answerWhenDone(Ticket, Call.Responder);
}

void control_task::answerWhenDone(const base::result<consensus::ticket> &Ticket,
                                  const responder &Responder) {
  if (Ticket.has_value())
    Waiting[Ticket.value()] = Responder;
  else if (Ticket.error().Kind == base::error_kind::NotLeader)
    Responder->set(notLeader(Ticket.error().Message));
  else
    Responder->set(Ticket.error());
}

void control_task::setVoters(const rpc_call &Call, base::instant Now) {
  const bool Adds = Call.Parameters.isMember("add");
  const auto Id = textParameter(Call.Parameters, Adds ? "add" : "remove");
  if (!Id.has_value())
    return Call.Responder->set(Id.error());
  const auto Ticket =
      Adds ? Log->addVoter(Id.value(), Now) : Log->removeVoter(Id.value(), Now);
  const std::size_t Voters = Log->status(Now).Members.Voters.size();
  telemetry::logChange(
      telemetry::log_level::Info, "control",
      Adds ? "voter-added" : "voter-removed",
      {{"instance", Id.value()},
       {"voters", std::to_string(Voters)},
       {"survivable_disk_losses",
        std::to_string(consensus::survivableDiskLosses(Voters))},
       {"outcome", Ticket ? "begun" : Ticket.error().Message}});
  answerWhenDone(Ticket, Call.Responder);
}

void control_task::proposeQuietly(controlstate::command_body Body,
                                  base::instant Now) {
  (void)Log->propose(controlstate::encodeCommand(
                         {.WallMs = wallMs(), .Body = std::move(Body)}),
                     Now);
}

void control_task::proposeDue(base::instant Now) {
  if (!Leads.load())
    return;
  for (controlstate::command_body &Body : Members.dueCommands(Now))
    proposeQuietly(std::move(Body), Now);
  if (Now - AdvancedAt < AdvanceInterval)
    return;
  AdvancedAt = Now;
  proposeQuietly(controlstate::advance_clock_command{}, Now);
}

void control_task::carryOut(consensus::flush_result Outputs,
                            base::instant Now) {
  for (const consensus::outgoing_message &Message : Outputs.Messages)
    send(Message);
  for (const consensus::completion &Completion : Outputs.Completions)
    finish(Completion);
  for (const consensus::role_change &Change : Outputs.RoleChanges)
    onRoleChange(Change, Now);
  if (!Outputs.Fatal)
    return;
  telemetry::logChange(telemetry::log_level::Error, "control", "log-failed",
                       {{"error", Outputs.Fatal->Message}});
  Failed.store(true);
}

void control_task::finish(const consensus::completion &Completion) {
  const auto Found = Waiting.find(Completion.Ticket);
  if (Found == Waiting.end())
    return;
  const responder Responder = Found->second;
  Waiting.erase(Found);
  if (Completion.Error)
    return Responder->set(*Completion.Error);
  if (Completion.Reply.empty())
    return Responder->set(Json::Value(Json::objectValue));
  const auto Reply = controlstate::decodeReply(Completion.Reply);
  if (!Reply.has_value())
    return Responder->set(Reply.error());
  Responder->set(resultOf(Reply.value()));
}

void control_task::onRoleChange(const consensus::role_change &Change,
                                base::instant Now) {
  Leader = Change.Leader;
  const bool LeadsNow = Change.Role == consensus::role::Leader;
  if (LeadsNow && !Leads.load())
    Members.becomeLeader(Now);
  Leads.store(LeadsNow);
  telemetry::logChange(telemetry::log_level::Info, "control", "role-changed",
                       {{"role", consensus::nameOf(Change.Role)},
                        {"term", std::to_string(Change.Term)},
                        {"leader", Change.Leader}});
}

void control_task::updateMetrics(base::instant Now) {
  const consensus::log_status Status = Log->status(Now);
  Metrics.gaugeOf("fulmar_control_is_leader").set(Leads.load() ? 1 : 0);
  Metrics.gaugeOf("fulmar_control_term")
      .set(static_cast<std::int64_t>(Status.Term));
  Metrics.gaugeOf("fulmar_control_commit_index")
      .set(static_cast<std::int64_t>(Status.Commit));
  Metrics.gaugeOf("fulmar_control_members")
      .set(static_cast<std::int64_t>(State.members().all().size()));
  Metrics.gaugeOf("fulmar_control_journal_bytes")
      .set(static_cast<std::int64_t>(Log->journalBytes()));
  Metrics.gaugeOf("fulmar_control_document_revision")
      .set(static_cast<std::int64_t>(State.edits().revision()));
}

} // namespace fulmar::control
