// Who votes: newcomers that ask for a place, and silent voters.

#include "fulmar/controlnode/controlnode.h"

#include "fulmar/telemetry/log.h"

#include <algorithm>

namespace fulmar::controlnode {

void control_node::removeSurplusVoter() {
  const base::instant Now = Loop.now();
  if (const auto Change = Voters.surplusVoter(Log->status(Now).Members,
                                              Options.LinkAddress, Now))
    change(*Change, "");
}

void control_node::change(const voter_change &Change,
                          const std::string &Newcomer) {
  const base::instant Now = Loop.now();
  const bool Adds = Change.Kind == voter_change::kind::Add;
  const auto Begun =
      Adds ? Log->addVoter(Change.Id, Now) : Log->removeVoter(Change.Id, Now);
  // A newcomer asks again until the change before has ended.
  if (Adds && !Begun)
    return;
  telemetry::logChange(telemetry::log_level::Info, "control",
                       Adds ? "voter-added" : "voter-removed",
                       {{"instance", Change.Id},
                        {"for", Newcomer},
                        {"outcome", Begun ? "begun" : Begun.error().Message}});
  scheduleFlush();
}

void control_node::askForPlace() {
  const auto Listed = controls();
  const bool Missing = std::find(Listed.begin(), Listed.end(),
                                 Options.LinkAddress) == Listed.end();
  if (!Missing && !Unlisted)
    return;
  for (const auto &[Peer, Dialer] : Dialers)
    sendTo(Peer, fleetlink::join_request{Options.LinkAddress});
}

} // namespace fulmar::controlnode
