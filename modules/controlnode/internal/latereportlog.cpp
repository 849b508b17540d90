// Recognises late reports and writes one line for each run.

#include "fulmar/controlnode/latereportlog.h"

#include "fulmar/telemetry/log.h"

namespace fulmar::controlnode {

namespace {

bool isOutdated(const fleet::target_report &Report,
                const fleet::target_report &Held) {
  if (fleet::isNewer(Report, Held))
    return false;
  const bool IsRepeated = Report.StartedAtMs == Held.StartedAtMs &&
                          Report.Sequence == Held.Sequence &&
                          Held.Phase != fleet::target_phase::Left;
  return !IsRepeated;
}

} // namespace

bool late_report_log::record(const fleet::target_report &Report,
                             const controlstate::target_table &Targets) {
  const fleet::target_report *Held = Targets.find(Report.Id);
  if (Held == nullptr || !isOutdated(Report, *Held))
    return false;
  if (LoggedRuns.size() >= MaxRuns)
    LoggedRuns.clear();
  if (!LoggedRuns.emplace(Report.Id, Report.StartedAtMs).second)
    return false;
  telemetry::logChange(telemetry::log_level::Info, "control",
                       "late-report-ignored",
                       {{"target", Report.Id},
                        {"run", std::to_string(Report.StartedAtMs)},
                        {"sequence", std::to_string(Report.Sequence)},
                        {"held_run", std::to_string(Held->StartedAtMs)},
                        {"held_sequence", std::to_string(Held->Sequence)},
                        {"held_phase", fleet::nameOf(Held->Phase)}});
  return true;
}

} // namespace fulmar::controlnode
