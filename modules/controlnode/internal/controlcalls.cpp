// Calls of a control instance: commands and reads that the leader executes,
// here or on another instance.

#include "fulmar/controlnode/controlnode.h"

#include "fulmar/telemetry/log.h"

#include <chrono>
#include <utility>

namespace fulmar::controlnode {

namespace {

/// Deadline of calls that this instance makes on its own.
constexpr auto InternalCallTimeout = std::chrono::seconds(2);

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

void control_node::propose(controlstate::command_body Body,
                           base::duration Limit, reply_handler Handler) {
  Calls.add(fleetlink::leader_call::Propose,
            controlstate::encodeCommand(
                {.WallMs = wallClockMs(), .Body = std::move(Body)}),
            Loop.now() + Limit,
            [Handler = std::move(Handler)](const call_result &Result) {
              if (!Result)
                return Handler(Result.error());
              auto Reply = controlstate::decodeReply(Result.value());
              if (!Reply)
                return Handler(Reply.error());
              const auto *Refusal =
                  std::get_if<controlstate::error_reply>(&Reply.value());
              if (Refusal != nullptr)
                return Handler(Refusal->Error);
              Handler(std::move(Reply).value());
            });
  attemptDueCalls();
}

void control_node::readDocument(base::duration Limit, call_handler Handler) {
  Calls.add(fleetlink::leader_call::ReadDocument, {}, Loop.now() + Limit,
            std::move(Handler));
  attemptDueCalls();
}

void control_node::proposeInBackground(controlstate::command_body Body) {
  propose(std::move(Body), InternalCallTimeout,
          [](const base::result<controlstate::reply> &Reply) {
            if (!Reply)
              telemetry::logChange(telemetry::log_level::Warning, "control",
                                   "command-failed",
                                   {{"error", Reply.error().Message}});
          });
}

void control_node::onCompletion(const consensus::completion &Completion) {
  const auto Found = PendingRequests.find(Completion.Ticket);
  if (Found == PendingRequests.end())
    return;
  const call_handler Handler = std::move(Found->second);
  PendingRequests.erase(Found);
  if (Completion.Error)
    Handler(*Completion.Error);
  else
    Handler(Completion.Reply);
}

void control_node::runHandlers(std::vector<finished_call> Finished) {
  for (finished_call &Call : Finished)
    Call.Handler(std::move(Call.Result));
}

void control_node::attemptDueCalls() {
  for (const due_call &Call : Calls.takeDue(Loop.now()))
    attemptCall(Call);
}

void control_node::attemptCall(const due_call &Call) {
  if (!IsLeader) {
    if (Leader.empty())
      return Calls.postpone(Call.Id, Loop.now());
    return sendTo(Leader, fleetlink::call_request{.From = Options.LinkAddress,
                                                  .Id = Call.Id,
                                                  .Call = Call.Call,
                                                  .Command = Call.Command});
  }
  executeLocally(Call.Call, Call.Command,
                 [this, Id = Call.Id](call_result Result) {
                   if (Result)
                     return runHandlers(Calls.finish(Id, std::move(Result)));
                   Calls.postpone(Id, Loop.now());
                 });
}

void control_node::executeLocally(fleetlink::leader_call Call,
                                  std::string Command,
                                  const call_handler &Done) {
  const bool Reads = Call == fleetlink::leader_call::ReadDocument;
  if (!Reads) {
    if (auto Outdated = State.outdatedReply(Command)) {
      // The instance that is behind numbers the order again once it is not.
      Log->announceCommit(Loop.now());
      scheduleFlush();
      return Done(std::move(*Outdated));
    }
  }
  const auto Ticket = Reads ? Log->read(Loop.now())
                            : Log->propose(std::move(Command), Loop.now());
  if (!Ticket)
    return Done(Ticket.error());
  PendingRequests[Ticket.value()] = [this, Reads,
                                     Done](const call_result &Result) {
    Done(Result && Reads ? call_result(State.plan().current().Document)
                         : Result);
  };
  scheduleFlush();
}

} // namespace fulmar::controlnode
