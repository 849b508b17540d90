// Persists outputs before sending messages, applies committed entries and
// completes requests.

#include "fulmar/consensus/replicatedlog.h"

#include "fulmar/consensus/messages.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fulmar::consensus {

namespace {

bool isStorageFull(const base::result<void> &Result) {
  return !Result && Result.error().Kind == base::error_kind::StorageFull;
}

/// Returns whether \p Message tells the receiver that data is durable here.
bool acknowledgesPersistence(const message &Message) {
  return std::holds_alternative<append_response>(Message.Body) ||
         std::holds_alternative<snapshot_response>(Message.Body);
}

} // namespace

replicated_log::replicated_log(replicated_log_options LogOptions,
                               istate_machine &StateMachine)
    : Options(std::move(LogOptions)), Machine(StateMachine) {}

base::result<std::unique_ptr<replicated_log>>
replicated_log::open(replicated_log_options Options,
                     journal::ifilesystem &Files, istate_machine &Machine,
                     base::instant Now) {
  const journal::journal_options Storage{.Folder = Options.Folder,
                                         .SegmentBytes = Options.SegmentBytes};
  BOOST_OUTCOME_TRY(Opened, journal::journal::open(Storage, Files));
  std::unique_ptr<replicated_log> Log(
      new replicated_log(std::move(Options), Machine));
  Log->Journal = std::move(Opened.Journal);
  BOOST_OUTCOME_TRY(Log->restore(Opened.Contents, Now));
  return Log;
}

base::result<void> replicated_log::restore(const journal::contents &Contents,
                                           base::instant Now) {
  replica_state Stored;
  if (!Contents.HardState.empty()) {
    BOOST_OUTCOME_TRY(HardState, decodeHardState(Contents.HardState));
    Stored.HardState = std::move(HardState);
  }
  if (Contents.Snapshot) {
    BOOST_OUTCOME_TRY(Snapshot, decodeSnapshot(Contents.Snapshot->Payload));
    BOOST_OUTCOME_TRY(Machine.restore(Snapshot.State));
    Applied = Snapshot.Index;
    LastSnapshot = Snapshot.Index;
    Stored.Snapshot = std::make_shared<snapshot>(std::move(Snapshot));
  }
  for (const journal::log_record &Record : Contents.Records) {
    BOOST_OUTCOME_TRY(Entry, decodeEntry(Record.Payload));
    Stored.Entries.push_back(std::move(Entry));
  }
  Replica = std::make_unique<replica>(Options.Replica, std::move(Stored), Now);
  return base::success();
}

ticket replicated_log::trackProposal(log_index Index) {
  const ticket Ticket = NextTicket++;
  Proposals[Index] = {Ticket, Replica->term()};
  return Ticket;
}

base::result<ticket> replicated_log::propose(std::string Command,
                                             base::instant Now) {
  if (Fatal)
    return base::fail(Fatal->Kind, Fatal->Message);
  if (DiskFullUntil && Now < *DiskFullUntil)
    return base::fail(base::error_kind::StorageFull, "the disk is full");
  BOOST_OUTCOME_TRY(Index, Replica->propose(std::move(Command), Now));
  return trackProposal(Index);
}

base::result<ticket> replicated_log::read(base::instant Now) {
  if (Replica->currentRole() != role::Leader)
    return base::fail(base::error_kind::NotLeader, Replica->leader());
  Reads.push_back({NextTicket++, Now, Replica->commitIndex()});
  Replica->requestProof(Now);
  return Reads.back().Ticket;
}

void replicated_log::deliver(const replica_id &From, std::string_view Bytes,
                             base::instant Now) {
  const auto Message = decodeMessage(Bytes);
  if (Fatal || !Message || Message.value().From != From)
    return;
  Replica->receive(Message.value(), Now);
}

void replicated_log::tick(base::instant Now) {
  if (!Fatal)
    Replica->tick(Now);
}

flush_result replicated_log::flush(base::instant Now) {
  flush_result Result;
  while (!Fatal && step(Now, Result)) {
  }
  if (!Fatal)
    takeSnapshot();
  if (!Fatal) {
    ProvedAt = Replica->provedAt(Now);
    finishReads(Result);
    return Result;
  }
  // After a journal failure nothing may be sent: messages or replies could
  // claim durability for data that was not stored.
  Result = {};
  Result.Fatal = Fatal;
  return Result;
}

bool replicated_log::step(base::instant Now, flush_result &Result) {
  replica_outputs Ready = Replica->takeOutputs();
  if (Ready.empty())
    return false;
  const auto Stored = persist(Ready);
  if (!Stored && !isStorageFull(Stored)) {
    fail(Stored.error());
    return false;
  }
  bool Continue = true;
  if (Stored)
    Replica->confirmPersisted(Now);
  else
    Continue = handleFullDisk(Ready, Now, Result);
  applyCommitted(Ready.Committed, Result);
  for (const message &Message : Ready.Messages)
    Result.Messages.push_back({Message.To, encode(Message)});
  for (role_change &Change : Ready.RoleChanges) {
    if (Change.Role != role::Leader)
      failPending(Result);
    Result.RoleChanges.push_back(std::move(Change));
  }
  return Continue;
}

base::result<void> replicated_log::persist(const replica_outputs &Ready) {
  if (Ready.HardState)
    Journal->setHardState(encode(*Ready.HardState));
  if (Ready.Installed) {
    BOOST_OUTCOME_TRY(Journal->commit());
    BOOST_OUTCOME_TRY(install(*Ready.Installed));
  }
  if (!Ready.Entries.empty())
    Journal->truncateFrom(Ready.Entries.front().Index);
  for (const entry &Entry : Ready.Entries)
    Journal->append(Entry.Index, encode(Entry));
  return Journal->commit();
}

base::result<void> replicated_log::install(const snapshot &Snapshot) {
  if (Applied >= Snapshot.Index)
    return base::success();
  BOOST_OUTCOME_TRY(Journal->saveSnapshot({Snapshot.Index, encode(Snapshot)},
                                          journal::suffix::Discard));
  BOOST_OUTCOME_TRY(Machine.restore(Snapshot.State));
  Applied = Snapshot.Index;
  LastSnapshot = Snapshot.Index;
  return base::success();
}

bool replicated_log::handleFullDisk(replica_outputs &Ready, base::instant Now,
                                    flush_result &Result) {
  DiskFullUntil = Now + Options.FullDiskRetryDelay;
  Replica->discardUnpersisted();
  failProposals(Replica->log().lastIndex() + 1,
                {base::error_kind::StorageFull, "the disk is full"}, Result);
  const bool Installing = Ready.Installed && Applied < Ready.Installed->Index;
  if (Ready.HardState)
    Journal->setHardState(encode(*Ready.HardState));
  const auto Stored = Journal->commit();
  if (!Stored && !isStorageFull(Stored))
    fail(Stored.error());
  if (!Stored || Installing) {
    Ready.Messages.clear();
    return false;
  }
  std::erase_if(Ready.Messages, acknowledgesPersistence);
  Replica->confirmPersisted(Now);
  return true;
}

void replicated_log::applyCommitted(const std::vector<entry> &Entries,
                                    flush_result &Result) {
  for (const entry &Entry : Entries) {
    std::string Reply;
    if (Entry.kind() == entry_kind::Command)
      Reply = Machine.apply(Entry.Index, Entry.Payload);
    Applied = Entry.Index;
    const auto Found = Proposals.find(Entry.Index);
    if (Found == Proposals.end())
      continue;
    completion Done{.Ticket = Found->second.Ticket};
    if (Found->second.Term == Entry.Term)
      Done.Reply = std::move(Reply);
    else
      Done.Error = base::error{base::error_kind::NoQuorum, "leadership lost"};
    Result.Completions.push_back(std::move(Done));
    Proposals.erase(Found);
  }
}

void replicated_log::finishReads(flush_result &Result) {
  if (Replica->currentRole() != role::Leader)
    return;
  std::erase_if(Reads, [&](const pending_read &Read) {
    const bool Done =
        ProvedAt && *ProvedAt >= Read.RequestedAt && Applied >= Read.Index;
    if (Done)
      Result.Completions.push_back({.Ticket = Read.Ticket});
    return Done;
  });
}

void replicated_log::failProposals(log_index From, const base::error &Error,
                                   flush_result &Result) {
  const auto First = Proposals.lower_bound(From);
  for (auto Found = First; Found != Proposals.end(); ++Found)
    Result.Completions.push_back(
        {.Ticket = Found->second.Ticket, .Error = Error});
  Proposals.erase(First, Proposals.end());
}

void replicated_log::failPending(flush_result &Result) {
  failProposals(0, {base::error_kind::NoQuorum, "leadership lost"}, Result);
  for (const pending_read &Read : std::exchange(Reads, {}))
    Result.Completions.push_back(
        {.Ticket = Read.Ticket,
         .Error = base::error{base::error_kind::NotLeader, Replica->leader()}});
}

void replicated_log::takeSnapshot() {
  if (Applied < LastSnapshot + Options.SnapshotIntervalEntries ||
      Applied < NextSnapshot)
    return;
  const auto Stored = storeSnapshot();
  if (Stored)
    return;
  if (!isStorageFull(Stored))
    return fail(Stored.error());
  constexpr std::uint64_t SnapshotRetryDivisor = 10;
  NextSnapshot =
      Applied + Options.SnapshotIntervalEntries / SnapshotRetryDivisor + 1;
}

base::result<void> replicated_log::storeSnapshot() {
  const raft_log &Log = Replica->log();
  auto NewSnapshot = std::make_shared<snapshot>(
      snapshot{.Index = Applied,
               .Term = Log.termAt(Applied).value_or(0),
               .Members = Log.membersAt(Applied),
               .State = Machine.snapshot()});
  BOOST_OUTCOME_TRY(Journal->saveSnapshot({Applied, encode(*NewSnapshot)},
                                          journal::suffix::Keep));
  LastSnapshot = Applied;
  Replica->compact(std::move(NewSnapshot));
  return base::success();
}

void replicated_log::fail(const base::error &Cause) { Fatal = Cause; }

base::result<void> replicated_log::transferLeadership(const replica_id &Target,
                                                      base::instant Now) {
  return Replica->transferLeadership(Target, Now);
}

base::result<ticket> replicated_log::addVoter(const replica_id &Id,
                                              base::instant Now) {
  BOOST_OUTCOME_TRY(Index, Replica->addMember(Id, Now));
  return trackProposal(Index);
}

base::result<ticket> replicated_log::removeVoter(const replica_id &Id,
                                                 base::instant Now) {
  BOOST_OUTCOME_TRY(Index, Replica->removeMember(Id, Now));
  return trackProposal(Index);
}

log_status replicated_log::status(base::instant Now) const {
  return {.Id = Options.Replica.Id,
          .ClusterId = Replica->clusterId(),
          .StorageId = Replica->storageId(),
          .Role = Replica->currentRole(),
          .Term = Replica->term(),
          .Leader = Replica->leader(),
          .LastIndex = Replica->log().lastIndex(),
          .Commit = Replica->commitIndex(),
          .Applied = Applied,
          .LastSnapshot = LastSnapshot,
          .Members = Replica->members(),
          .ProofAge = proofAge(Now)};
}

std::optional<base::duration>
replicated_log::proofAge(base::instant Now) const {
  if (!ProvedAt)
    return std::nullopt;
  return Now - *ProvedAt;
}

} // namespace fulmar::consensus
