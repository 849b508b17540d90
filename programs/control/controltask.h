// The task that owns a control instance's replicated log and state. Everything
// reaches it as messages; it answers calls through their responders.

#ifndef FULMAR_PROGRAMS_CONTROL_CONTROLTASK_H
#define FULMAR_PROGRAMS_CONTROL_CONTROLTASK_H

#include "controlsettings.h"
#include "memberkeeper.h"
#include "rpcmessages.h"

#include "fulmar/base/mailbox.h"
#include "fulmar/base/time.h"
#include "fulmar/consensus/replicatedlog.h"
#include "fulmar/controlstate/controlstate.h"
#include "fulmar/journal/posixfilesystem.h"
#include "fulmar/telemetry/metrics.h"
#include "fulmar/wire/rpclink.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace fulmar::control {

class control_task {
public:
  control_task(control_options Settings, telemetry::metrics &Registry);
  ~control_task();
  control_task(const control_task &) = delete;
  control_task &operator=(const control_task &) = delete;

  /// Opens the data folder and starts the loop.
  base::result<void> start();

  /// Runs a call on the task and waits for its answer; NoQuorum when none
  /// came within AnswerWait. Thread-safe.
  rpc_result call(const std::string &Method, const Json::Value &Parameters);

  /// Hands leadership over. Thread-safe.
  void beginStop() { Inbox.post(begin_stop{}); }
  [[nodiscard]] bool leads() const { return Leads.load(); }
  /// The log can't be trusted any more; the process must exit.
  [[nodiscard]] bool failed() const { return Failed.load(); }
  void stop();

  /// All methods that the task answers.
  static std::vector<std::string> methods();

private:
  using handler = rpc_result (control_task::*)(const Json::Value &Parameters,
                                               base::instant Now);

  static const std::map<std::string, handler> &handlers();

  void run();
  void take(const rpc_call &Call, base::instant Now);
  void take(const ask_required_hash &Question, base::instant Now);
  void take(const begin_stop &Stop, base::instant Now);
  base::result<controlstate::token_proof>
  proveToken(const std::string &Method, const Json::Value &Parameters);
  void propose(const rpc_call &Call, base::instant Now);
  void answerWhenDone(const base::result<consensus::ticket> &Ticket,
                      const responder &Responder);
  void proposeDue(base::instant Now);
  void proposeQuietly(controlstate::command_body Body, base::instant Now);
  void send(const consensus::outgoing_message &Message);
  void finish(const consensus::completion &Completion);
  void onRoleChange(const consensus::role_change &Change, base::instant Now);
  void carryOut(consensus::flush_result Outputs, base::instant Now);
  void forwardReports(base::instant Now);
  void updateMetrics(base::instant Now);
  [[nodiscard]] base::error notLeader(const std::string &Leader) const;

  rpc_result onDeliver(const Json::Value &Parameters, base::instant Now);
  rpc_result onShow(const Json::Value &Parameters, base::instant Now);
  rpc_result onHistory(const Json::Value &Parameters, base::instant Now);
  rpc_result onForce(const Json::Value &Parameters, base::instant Now);
  rpc_result onStatus(const Json::Value &Parameters, base::instant Now);
  rpc_result onMembers(const Json::Value &Parameters, base::instant Now);
  rpc_result onSync(const Json::Value &Parameters, base::instant Now);

  /// Changes that need the log, answered when committed.
  void setVoters(const rpc_call &Call, base::instant Now);

  control_options Options;
  telemetry::metrics &Metrics;
  base::steady_clock Clock;
  base::mailbox<task_message> Inbox;
  std::atomic<bool> Leads{false};
  std::atomic<bool> Failed{false};
  std::atomic<bool> Stopping{false};

  journal::posix_filesystem Files;
  controlstate::control_state State;
  std::unique_ptr<consensus::replicated_log> Log;
  member_keeper Members;
  std::map<std::string, std::unique_ptr<wire::rpc_link>> Links;
  /// Calls that wait for their command; without an entry nobody waits.
  std::map<consensus::ticket, responder> Waiting;
  std::string Leader;
  base::instant ForwardedAt{};
  base::instant AdvancedAt{};
  std::thread Thread;
};

} // namespace fulmar::control

#endif // FULMAR_PROGRAMS_CONTROL_CONTROLTASK_H
