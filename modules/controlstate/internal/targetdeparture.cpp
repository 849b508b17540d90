// Records departures as the last reports of their runs.

#include "fulmar/controlstate/targetdeparture.h"

namespace fulmar::controlstate {

command_body departureCommand(const target_left_command &Departure) {
  // Only the log's order tells which run is the current one.
  if (Departure.StartedAtMs == 0)
    return Departure;
  // Without an address: a target that has left owns none, and the departure
  // counts even if a later start has taken the address over.
  return target_report_command{{.Id = Departure.Id,
                                .Phase = fleet::target_phase::Left,
                                .StartedAtMs = Departure.StartedAtMs}};
}

} // namespace fulmar::controlstate
