// Chooses the command that records a departure, so that its acknowledgement
// holds whatever arrives later.

#ifndef FULMAR_CONTROLSTATE_TARGETDEPARTURE_H
#define FULMAR_CONTROLSTATE_TARGETDEPARTURE_H

#include "fulmar/controlstate/commands.h"

namespace fulmar::controlstate {

/// Returns the command that records \p Departure. A departure that names its
/// run is recorded as the last report of this run, which is also kept if the
/// table holds nothing of the target or an earlier run of it. Earlier builds
/// apply such a report in the same way.
command_body departureCommand(const target_left_command &Departure);

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_TARGETDEPARTURE_H
