// fulmar-entry: serves callers, takes targets' announcements and says which
// entry to use.

#include "claimclient.h"
#include "entryfront.h"
#include "entrysettings.h"
#include "entrytask.h"

#include "fulmar/runtime/program.h"
#include "fulmar/telemetry/log.h"
#include "fulmar/wire/rpcserver.h"

#include <iostream>

using namespace fulmar;

namespace {

constexpr auto SignalPoll = std::chrono::milliseconds(100);
constexpr auto RemainingReport = std::chrono::seconds(10);
/// Time for the news of the stop to reach the entries that answer callers.
constexpr auto NewsTime = std::chrono::seconds(2);

/// Serves on for as long as callers may keep an answer that names this entry,
/// then waits for what is in flight. Cuts no request.
void drain(entry::entry_task &Task, entry::entry_front &Front) {
  Task.beginStop();
  std::this_thread::sleep_for(NewsTime + Task.front().keptAnswer());
  Front.server().beginStop();
  const base::steady_clock Clock;
  while (true) {
    const auto Remaining =
        Front.server().waitIdle(Clock.now() + RemainingReport);
    if (Remaining.empty())
      return;
    for (const proxy::remaining_request &Request : Remaining)
      telemetry::logChange(telemetry::log_level::Info, "entry",
                           "stop-waits-for-request",
                           {{"peer", Request.Peer},
                            {"method", Request.Method},
                            {"path", Request.Path}});
  }
}

int serve(const settings::settings &Read, runtime::stop_request &Stop) {
  const entry::entry_options Options = entry::entryOptions(Read);
  telemetry::metrics Metrics;
  entry::control_caller Caller(Options.ControlAddresses);
  entry::entry_task Task(Options, Caller, Metrics);
  entry::claim_client Claims(Caller);
  wire::rpc_server Server;
  for (const std::string &Method : entry::entry_task::rpcMethods())
    Server.handleMethod(Method, [&Task, Method](const Json::Value &Parameters) {
      return Task.call(Method, Parameters);
    });
  Server.handleText("/metrics",
                    [&Metrics] { return Metrics.prometheusText(); });
  entry::entry_front Front(Options, Task, Claims, Metrics);
  Task.start();
  auto Started = Server.start({.Listen = Options.RpcListen});
  if (Started.has_value())
    Started = Front.start();
  if (!Started.has_value()) {
    std::cerr << "fulmar-entry: " << Started.error().Message << "\n";
    return runtime::ExitFailure;
  }
  telemetry::logChange(
      telemetry::log_level::Info, "entry", "started",
      {{"listen", Options.Listen}, {"incarnation", Options.Self.Incarnation}});
  while (!Stop.wait(SignalPoll)) {
  }
  telemetry::logChange(telemetry::log_level::Info, "entry", "stopping");
  drain(Task, Front);
  Front.server().stop();
  Server.stop();
  Task.stop();
  telemetry::logChange(telemetry::log_level::Info, "entry", "stopped");
  return runtime::ExitSuccess;
}

} // namespace

int main(int Argc, char **Argv) {
  const runtime::program_description Program{
      .Name = "fulmar-entry",
      .Usage = "Spreads callers' requests over targets, takes targets' "
               "announcements and says which entry to use.\nUsage: "
               "fulmar-entry --config=FILE [--check-settings]",
      .Schema = entry::entrySchema()};
  return runtime::runProgram(Argc, Argv, Program, serve);
}
