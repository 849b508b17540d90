// Changes of the log's voters: joining instances and silent voters.

#include "fulmar/controlnode/controlnode.h"

#include "fulmar/telemetry/log.h"

#include <algorithm>

namespace fulmar::controlnode {

void control_node::removeSilentVoter() {
  const base::instant Now = Loop.now();
  if (const auto Change = Voters.voterToRemove(Log->status(Now).Members,
                                               Options.LinkAddress, Now))
    changeVoters(*Change, "");
}

void control_node::changeVoters(const voter_change &Change,
                                const std::string &JoiningInstance) {
  const base::instant Now = Loop.now();
  const bool Adds = Change.Kind == voter_change::kind::Add;
  const auto Started =
      Adds ? Log->addVoter(Change.Id, Now) : Log->removeVoter(Change.Id, Now);
  // A joining instance retries until the pending change has finished.
  if (Adds && !Started)
    return;
  telemetry::logChange(
      telemetry::log_level::Info, "control",
      Adds ? "voter-added" : "voter-removed",
      {{"instance", Change.Id},
       {"for", JoiningInstance},
       {"outcome", Started ? "begun" : Started.error().Message}});
  scheduleFlush();
}

void control_node::requestMembership() {
  const auto Listed = memberAddresses();
  const bool Missing = std::find(Listed.begin(), Listed.end(),
                                 Options.LinkAddress) == Listed.end();
  if (!Missing && !MissingInPeerMembers)
    return;
  for (const auto &[Peer, Dialer] : Dialers)
    sendTo(Peer, fleetlink::join_request{Options.LinkAddress});
}

} // namespace fulmar::controlnode
