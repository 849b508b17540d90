// Changes of the log's voters: joining instances and silent voters.

#include "fulmar/controlnode/controlnode.h"

#include "fulmar/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace fulmar::controlnode {

void control_node::removeSilentVoter() {
  const base::instant Now = Loop.now();
  const consensus::configuration Members = Log->status(Now).Members;
  if (const auto Change =
          Voters.voterToRemove(Members, Options.LinkAddress, Now))
    changeVoters(*Change, "");
  logKeptVoter(Voters.voterKeptForDisks(Members, Options.LinkAddress, Now));
}

void control_node::logKeptVoter(const std::optional<std::string> &Kept) {
  if (std::exchange(LoggedKeptVoter, Kept) == Kept || !Kept)
    return;
  const std::size_t Count = Log->status(Loop.now()).Members.Voters.size();
  telemetry::logChange(
      telemetry::log_level::Warning, "control", "silent-voter-kept",
      {{"instance", *Kept},
       {"voters", std::to_string(Count)},
       {"survivable_disk_losses",
        std::to_string(consensus::survivableDiskLosses(Count))},
       {"tolerated_disk_losses",
        std::to_string(Options.Voters.ToleratedDiskLosses)}});
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
  const std::size_t VoterCount = Log->status(Now).Members.Voters.size();
  telemetry::logChange(
      telemetry::log_level::Info, "control",
      Adds ? "voter-added" : "voter-removed",
      {{"instance", Change.Id},
       {"for", JoiningInstance},
       {"voters", std::to_string(VoterCount)},
       {"survivable_disk_losses",
        std::to_string(consensus::survivableDiskLosses(VoterCount))},
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
