// fulmar-control: one instance of the replicated control plane.

#include "controlsettings.h"
#include "controltask.h"

#include "fulmar/runtime/program.h"
#include "fulmar/telemetry/log.h"
#include "fulmar/wire/rpcserver.h"

#include <iostream>

using namespace fulmar;

namespace {

constexpr auto SignalPoll = std::chrono::milliseconds(100);
constexpr auto HandOverLimit = std::chrono::seconds(3);

/// Waits until leadership has gone to another instance.
void handOver(control::control_task &Task) {
  const base::steady_clock Clock;
  const base::instant Limit = Clock.now() + HandOverLimit;
  Task.beginStop();
  while (Task.leads() && Clock.now() < Limit)
    std::this_thread::sleep_for(SignalPoll);
}

int serve(const settings::settings &Read, runtime::stop_request &Stop) {
  const control::control_options Options = control::controlOptions(Read);
  telemetry::metrics Metrics;
  control::control_task Task(Options, Metrics);
  wire::rpc_server Server;
  for (const std::string &Method : control::control_task::methods())
    Server.handleMethod(Method, [&Task, Method](const Json::Value &Parameters) {
      return Task.call(Method, Parameters);
    });
  Server.handleText("/metrics",
                    [&Metrics] { return Metrics.prometheusText(); });
  auto Started = Task.start();
  if (Started.has_value())
    Started = Server.start({.Listen = Options.Listen});
  if (!Started.has_value()) {
    std::cerr << "fulmar-control: " << Started.error().Message << "\n";
    return runtime::ExitFailure;
  }
  telemetry::logChange(telemetry::log_level::Info, "control", "started",
                       {{"listen", Options.Listen}});
  while (!Stop.wait(SignalPoll) && !Task.failed()) {
  }
  if (Task.failed())
    return runtime::ExitFailure;
  telemetry::logChange(telemetry::log_level::Info, "control", "stopping");
  handOver(Task);
  Server.stop();
  Task.stop();
  telemetry::logChange(telemetry::log_level::Info, "control", "stopped");
  return runtime::ExitSuccess;
}

} // namespace

int main(int Argc, char **Argv) {
  const runtime::program_description Program{
      .Name = "fulmar-control",
      .Usage = "Keeps what operators ask for: the document, the states of data "
               "centres, members and claims, replicated over the control "
               "instances.\nUsage: fulmar-control --config=FILE "
               "[--check-settings]",
      .Schema = control::controlSchema(),
      .Check = control::checkControlSettings};
  return runtime::runProgram(Argc, Argv, Program, serve);
}
