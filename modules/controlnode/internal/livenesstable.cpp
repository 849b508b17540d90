// Leases of targets and entries, and the commands that follow from them.

#include "fulmar/controlnode/livenesstable.h"

#include "fulmar/controlstate/targetdeparture.h"

#include <algorithm>

namespace fulmar::controlnode {

namespace {

/// Minimum time before the same command is proposed again.
constexpr base::duration ProposalInterval = std::chrono::seconds(1);

} // namespace

void liveness_table::recordTargetReport(const std::string &Id,
                                        base::instant Now) {
  TargetHeardAt[Id] = Now;
  ReportedTargets.push_back(Id);
}

void liveness_table::recordEntryStatus(const fleetlink::entry_status &Notice,
                                       base::instant Now) {
  Entries[Notice.Report.Id] = {Notice, Now, true};
}

void liveness_table::recordEntryHeartbeat(const std::string &Id,
                                          base::instant Now) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  Found->second.LastHeardAt = Now;
  // The closed connection may have been an earlier one of the same entry.
  Found->second.Connected = true;
}

void liveness_table::recordEntryDisconnect(const std::string &Id) {
  const auto Found = Entries.find(Id);
  if (Found != Entries.end())
    Found->second.Connected = false;
}

std::vector<std::string> liveness_table::takeReportedTargets() {
  std::sort(ReportedTargets.begin(), ReportedTargets.end());
  ReportedTargets.erase(
      std::unique(ReportedTargets.begin(), ReportedTargets.end()),
      ReportedTargets.end());
  return std::exchange(ReportedTargets, {});
}

bool liveness_table::wasProposedRecently(const std::string &Key,
                                         base::instant Now) {
  const auto Found = ProposedAt.find(Key);
  if (Found != ProposedAt.end() && Now - Found->second < ProposalInterval)
    return true;
  ProposedAt[Key] = Now;
  return false;
}

std::vector<controlstate::command_body>
liveness_table::dueCommands(const controlstate::control_state &State,
                            base::instant Now) {
  ReportedTargets.clear();
  std::erase_if(ProposedAt, [Now](const auto &Proposal) {
    return Now - Proposal.second >= ProposalInterval;
  });
  std::vector<controlstate::command_body> Due;
  for (const auto &[Id, Held] : State.targets().all()) {
    if (Held.Phase == fleet::target_phase::Left)
      continue;
    const auto Heard = TargetHeardAt.find(Id);
    const base::instant Last =
        std::max(LeasesSince,
                 Heard == TargetHeardAt.end() ? LeasesSince : Heard->second);
    if (Now - Last > TargetLease && !wasProposedRecently("target/" + Id, Now))
      Due.push_back(controlstate::expiryCommand(Held));
  }
  const auto &Members = State.members().all();
  for (const auto &[Id, Entry] : Entries) {
    const auto Held = Members.find(Id);
    const bool Known =
        Held != Members.end() && Held->second == Entry.Notice.Report;
    if (!Known && Now - Entry.LastHeardAt <= ReadyEntryTimeout &&
        !wasProposedRecently("entry/" + Id, Now))
      Due.emplace_back(
          controlstate::member_report_command{Entry.Notice.Report});
  }
  for (const auto &[Id, Report] : Members) {
    const auto Heard = Entries.find(Id);
    const base::instant Last = std::max(
        LeasesSince,
        Heard == Entries.end() ? LeasesSince : Heard->second.LastHeardAt);
    if (Now - Last > EntryLease && !wasProposedRecently("expire/" + Id, Now))
      Due.emplace_back(
          controlstate::member_expired_command{Id, Report.Incarnation});
  }
  return Due;
}

std::vector<controlstate::member_report>
liveness_table::readyEntries(base::instant Now) const {
  std::vector<controlstate::member_report> Ready;
  for (const auto &[Id, Entry] : Entries) {
    if (Entry.Connected && Entry.Notice.Ready &&
        !Entry.Notice.Report.Stopping &&
        Now - Entry.LastHeardAt <= ReadyEntryTimeout)
      Ready.push_back(Entry.Notice.Report);
  }
  return Ready;
}

} // namespace fulmar::controlnode
