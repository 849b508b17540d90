// Records departures as the last reports of their runs.

#include "fulmar/controlstate/targetdeparture.h"

#include <limits>
#include <utility>

namespace fulmar::controlstate {

namespace {

/// Without an address: a target that has left owns none, and the departure
/// counts even if a later start has taken the address over.
target_report_command lastReport(const std::string &Id,
                                 std::int64_t StartedAtMs) {
  return {{.Id = Id,
           .Phase = fleet::target_phase::Left,
           .StartedAtMs = StartedAtMs}};
}

/// No report of the run is newer than this one, except its last.
target_report_command finalDrain(fleet::target_report Held) {
  Held.Phase = fleet::target_phase::Draining;
  Held.Sequence = std::numeric_limits<std::uint64_t>::max();
  return {std::move(Held)};
}

} // namespace

command_body departureCommand(const target_table &Targets,
                              const target_left_command &Departure) {
  const fleet::target_report *Held = Targets.find(Departure.Id);
  const bool EndsHeldRun = Held != nullptr &&
                           Held->Phase != fleet::target_phase::Left &&
                           (Departure.StartedAtMs == 0 ||
                            Departure.StartedAtMs == Held->StartedAtMs);
  if (EndsHeldRun && Targets.wouldDropDeparture(*Held))
    return finalDrain(*Held);
  // Only the log's order tells which run is the current one.
  if (Departure.StartedAtMs == 0)
    return Departure;
  return lastReport(Departure.Id, Departure.StartedAtMs);
}

bool isDepartureKept(const target_table &Targets,
                     const target_left_command &Departure,
                     const target_reply &Reply) {
  if (Reply.Changed || Departure.StartedAtMs != 0)
    return true;
  const fleet::target_report *Held = Targets.find(Departure.Id);
  return Held != nullptr && Held->Phase != fleet::target_phase::Serving;
}

std::optional<command_body> reportCommand(const target_table &Targets,
                                          const fleet::target_report &Report) {
  if (Targets.wouldChange(Report))
    return target_report_command{Report};
  if (Targets.isNews(Report) && Report.Phase == fleet::target_phase::Draining)
    return lastReport(Report.Id, Report.StartedAtMs);
  return std::nullopt;
}

command_body expiryCommand(const fleet::target_report &Held) {
  if (Held.Phase == fleet::target_phase::Draining)
    return lastReport(Held.Id, Held.StartedAtMs);
  return target_expired_command{Held.Id, Held.StartedAtMs, Held.Sequence};
}

} // namespace fulmar::controlstate
