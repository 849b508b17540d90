// The task that owns an entry's decisions: what it knows, the shares it holds
// and grants, and the router. Everything reaches it as messages.

#ifndef FULMAR_PROGRAMS_ENTRY_ENTRYTASK_H
#define FULMAR_PROGRAMS_ENTRY_ENTRYTASK_H

#include "controlcaller.h"
#include "crashreporter.h"
#include "entrymessages.h"
#include "entrysettings.h"
#include "frontview.h"
#include "knowledge.h"
#include "routingdesk.h"
#include "shareexchange.h"
#include "targetchecker.h"

#include "fulmar/base/mailbox.h"
#include "fulmar/telemetry/metrics.h"
#include "fulmar/wire/rpclink.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace fulmar::entry {

class entry_task {
public:
  entry_task(const entry_options &Settings, control_caller &Caller,
             telemetry::metrics &Registry);
  ~entry_task();
  entry_task(const entry_task &) = delete;
  entry_task &operator=(const entry_task &) = delete;

  void start();
  void stop();

  /// Runs a method on the task and waits for its answer. Thread-safe.
  json_result call(const std::string &Method, const Json::Value &Parameters);
  /// Leaves the answers to callers and hands ownership over. Thread-safe.
  void beginStop() { Inbox.post(begin_stop{}); }

  base::mailbox<task_message> &inbox() { return Inbox; }
  /// What the threads that serve callers may read.
  [[nodiscard]] const front_view &front() const { return Front; }

  /// Methods that other processes may call.
  static std::vector<std::string> rpcMethods();

private:
  using handler = void (entry_task::*)(const rpc_call &Call, base::instant Now);

  static const std::map<std::string, handler> &handlers();

  void run();
  void take(const rpc_call &Call, base::instant Now);
  void take(const acquire_permit &Request, base::instant Now);
  void take(const finish_permit &Finished, base::instant Now);
  void take(const sync_answered &Answered, base::instant Now);
  void take(const share_answered &Answered, base::instant Now);
  void take(const target_observed &Observed, base::instant Now);
  void take(const target_unreachable &Refused, base::instant Now);
  void take(const begin_stop &Stop, base::instant Now);

  void onSync(const rpc_call &Call, base::instant Now);
  void onShareSync(const rpc_call &Call, base::instant Now);
  void onAnnounceRelay(const rpc_call &Call, base::instant Now);
  void onAnnounce(const rpc_call &Call, base::instant Now);
  void onEntries(const rpc_call &Call, base::instant Now);
  void onStatus(const rpc_call &Call, base::instant Now);

  void onItemsChanged(base::instant Now);
  void runPeriodic(base::instant Now);
  void askParent(base::instant Now);
  void noteFreshness(base::instant Now);
  [[nodiscard]] std::vector<std::string>
  entriesFor(const base::service_name &Service) const;

  telemetry::metrics &Metrics;
  base::steady_clock Clock;
  base::mailbox<task_message> Inbox;
  std::atomic<bool> Ending{false};

  knowledge Knowledge;
  share_exchange Shares;
  routing_desk Desk;
  front_view Front;
  crash_reporter Crashes;
  target_checker Checker;

  /// The parent asked last, and its link.
  std::unique_ptr<wire::rpc_link> ParentLink;
  base::instant AskedAt{};
  base::instant PeriodicAt{};
  bool HadPermission = false;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_ENTRYTASK_H
