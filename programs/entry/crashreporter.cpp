// crash.report, one after another.

#include "crashreporter.h"

#include "fulmar/routing/fingerprint.h"
#include "fulmar/telemetry/log.h"

namespace fulmar::entry {

crash_reporter::crash_reporter(control_caller &ControlCaller)
    : Caller(ControlCaller), Thread([this] { run(); }) {}

crash_reporter::~crash_reporter() {
  Inbox.close();
  Thread.join();
}

void crash_reporter::run() {
  constexpr auto IdleWait = std::chrono::seconds(1);
  constexpr auto ReportLimit = std::chrono::seconds(5);
  while (!Inbox.closed()) {
    const auto Report = Inbox.take(IdleWait);
    if (!Report)
      continue;
    const std::string Fingerprint =
        routing::fingerprintText(Report->Fingerprint);
    telemetry::logChange(telemetry::log_level::Warning, "router",
                         "request-crashed-target",
                         {{"fingerprint", Fingerprint},
                          {"target", Report->Target.str()},
                          {"incarnation", Report->Incarnation}});
    Json::Value Parameters;
    Parameters["fingerprint"] = Fingerprint;
    Parameters["target"] = Report->Target.str();
    Parameters["incarnation"] = Report->Incarnation;
    const auto Answer = Caller.call("crash.report", Parameters, ReportLimit);
    if (!Answer.has_value())
      telemetry::logChange(telemetry::log_level::Error, "router",
                           "crash-report-failed",
                           {{"error", Answer.error().Message}});
  }
}

} // namespace fulmar::entry
