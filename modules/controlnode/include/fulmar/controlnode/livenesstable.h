// When targets and entries were last heard of, and which of them the leader
// should forget. A leader counts from the moment at which it was elected,
// because it has not heard what others heard before.

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
  /// A target that is cut off from all control instances goes on serving
  /// callers: it is forgotten only after longer than usual partitions last.
  static constexpr base::duration TargetLease = std::chrono::seconds(20);
  /// Entries only count for the division of cold targets' load.
  static constexpr base::duration EntryLease = std::chrono::seconds(10);
  /// An entry that has been silent for longer is not named to callers: three
  /// notices.
  static constexpr base::duration ReadyEntryTimeout =
      std::chrono::milliseconds(1'300);

  void recordTargetReport(const std::string &Id, base::instant Now);
  void recordEntryStatus(const fleetlink::entry_status &Notice,
                         base::instant Now);
  /// The entry's last notice holds on.
  void recordEntryHeartbeat(const std::string &Id, base::instant Now);
  /// The entry's connection ended.
  void recordEntryDisconnect(const std::string &Id);
  void becomeLeader(base::instant Now) { LeaderSince = Now; }

  /// Targets heard here since the last call.
  std::vector<std::string> takeReportedTargets();

  /// What the leader should propose now.
  [[nodiscard]] std::vector<controlstate::command_body>
  dueCommands(const controlstate::control_state &State, base::instant Now);

  /// Entries that take callers.
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
  std::vector<std::string> ReportedTargets;
  std::map<std::string, entry_record> Entries;
  /// When a command was last returned, by kind and id.
  std::map<std::string, base::instant> ProposedAt;
  base::instant LeaderSince{};
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_LIVENESSTABLE_H
