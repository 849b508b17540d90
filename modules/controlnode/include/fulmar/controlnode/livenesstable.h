// Tracks when targets and entries were last heard from, and determines which of
// them the leader should expire. Leases start at the leader's election at the
// earliest, because a new leader doesn't know what others received before, and
// at the end of its last stall, because what came in meanwhile is not yet read.

#ifndef FULMAR_CONTROLNODE_LIVENESSTABLE_H
#define FULMAR_CONTROLNODE_LIVENESSTABLE_H

#include "fulmar/base/time.h"
#include "fulmar/controlstate/commands.h"
#include "fulmar/controlstate/controlstate.h"
#include "fulmar/fleetlink/linkmessages.h"

#include <map>
#include <string>
#include <vector>

namespace fulmar::controlnode {

class liveness_table {
public:
  /// A target that is partitioned from all control instances still serves
  /// callers, so the lease is longer than partitions usually last.
  static constexpr base::duration TargetLease = std::chrono::seconds(20);
  /// Expired entries no longer count when the load of cold targets is divided
  /// among entries.
  static constexpr base::duration EntryLease = std::chrono::seconds(10);
  /// Time without a message after which an entry is no longer listed for
  /// callers. Covers three status messages.
  static constexpr base::duration ReadyEntryTimeout =
      std::chrono::milliseconds(1'300);

  void recordTargetReport(const std::string &Id, base::instant Now);
  void recordEntryStatus(const fleetlink::entry_status &Notice,
                         base::instant Now);
  /// Records that the entry's last status is still valid.
  void recordEntryHeartbeat(const std::string &Id, base::instant Now);
  /// Records that a connection of the entry was closed.
  void recordEntryDisconnect(const std::string &Id);
  void becomeLeader(base::instant Now) { LeasesSince = Now; }
  /// Records that a stall of this instance ended.
  void recordStall(base::instant EndedAt) { LeasesSince = EndedAt; }

  /// Returns the targets that reported to this instance since the last call of
  /// this or of dueCommands().
  std::vector<std::string> takeReportedTargets();

  /// Returns the commands that the leader should propose now. A leader passes
  /// no reports on, so those collected are dropped.
  [[nodiscard]] std::vector<controlstate::command_body>
  dueCommands(const controlstate::control_state &State, base::instant Now);

  /// Returns the entries that accept callers.
  [[nodiscard]] std::vector<controlstate::member_report>
  readyEntries(base::instant Now) const;

private:
  struct entry_record {
    fleetlink::entry_status Notice;
    base::instant LastHeardAt{};
    bool Connected = true;
  };

  [[nodiscard]] bool wasProposedRecently(const std::string &Key,
                                         base::instant Now);

  std::map<std::string, base::instant> TargetHeardAt;
  /// To be passed on to the leader.
  std::vector<std::string> ReportedTargets;
  std::map<std::string, entry_record> Entries;
  /// Time at which a command was last proposed, by its kind and id.
  std::map<std::string, base::instant> ProposedAt;
  base::instant LeasesSince{};
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_LIVENESSTABLE_H
