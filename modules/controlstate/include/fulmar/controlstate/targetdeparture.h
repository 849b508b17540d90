// Chooses the commands that take targets out of service, so that what was
// acknowledged to a target holds whatever arrives later.

#ifndef FULMAR_CONTROLSTATE_TARGETDEPARTURE_H
#define FULMAR_CONTROLSTATE_TARGETDEPARTURE_H

#include "fulmar/controlstate/commands.h"
#include "fulmar/controlstate/replies.h"
#include "fulmar/controlstate/targettable.h"

#include <optional>

namespace fulmar::controlstate {

/// Returns the command that records \p Departure. A departure that names its
/// run is recorded as the last report of this run, which is also kept if the
/// table holds nothing of the target or an earlier run of it. Earlier builds
/// apply such a report in the same way. A run whose departure the table would
/// drop at once drains instead until its lease ends.
command_body departureCommand(const target_table &Targets,
                              const target_left_command &Departure);

/// Returns whether a departure that was applied with \p Reply is kept. One that
/// names no run and found none is not: nothing tells which reports are late.
bool isDepartureKept(const target_table &Targets,
                     const target_left_command &Departure,
                     const target_reply &Reply);

/// Returns the command that records \p Report; empty if the table already holds
/// what it says. The table refuses a report of a run whose address a later
/// start has taken over; if that run drains, it is recorded as left.
std::optional<command_body> reportCommand(const target_table &Targets,
                                          const fleet::target_report &Report);

/// Returns the command for a target whose lease has ended. A target that drains
/// is recorded as left: an earlier report must not put it back into service.
command_body expiryCommand(const fleet::target_report &Held);

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_TARGETDEPARTURE_H
