// A replica joined with its journal and the state it drives. No sockets, no
// threads: the shell delivers messages and the time, and calls flush() after
// each round of events.

#ifndef FULMAR_CONSENSUS_REPLICATEDLOG_H
#define FULMAR_CONSENSUS_REPLICATEDLOG_H

#include "fulmar/base/result.h"
#include "fulmar/consensus/consensustypes.h"
#include "fulmar/consensus/istatemachine.h"
#include "fulmar/consensus/replica.h"
#include "fulmar/journal/journal.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::consensus {

class replicated_log {
public:
  /// Opens the journal, restores the state machine from the last snapshot and
  /// waits for a leader to tell how far the rest is committed. \p Files and
  /// \p Machine must outlive the log.
  static base::result<std::unique_ptr<replicated_log>>
  open(replicated_log_options Options, journal::ifilesystem &Files,
       istate_machine &Machine, base::instant Now);

  /// Queues a command. Fails with NotLeader, whose message is the leader's id,
  /// empty when unknown or not yet ready, or with StorageFull.
  base::result<ticket> propose(std::string Command, base::instant Now);
  /// Completes once every command accepted before \p Now is applied here and
  /// this instance was still leader after \p Now.
  base::result<ticket> read(base::instant Now);
  /// Takes a message of another instance. Unreadable ones are ignored.
  void deliver(const replica_id &From, std::string_view Bytes,
               base::instant Now);
  /// Call at least every quarter of a heartbeat.
  void tick(base::instant Now);
  /// Makes queued writes durable with one sync, applies what is committed and
  /// returns what to send and to answer.
  flush_result flush(base::instant Now);

  /// Hands leadership to \p Target, or to the voter that holds most when
  /// empty. Watch the role changes for the outcome.
  base::result<void> transferLeadership(const replica_id &Target,
                                        base::instant Now);
  /// Adds an instance as learner; it becomes a voter by itself once it holds
  /// everything. Completes when the learner is committed.
  base::result<ticket> addVoter(const replica_id &Id, base::instant Now);
  base::result<ticket> removeVoter(const replica_id &Id, base::instant Now);

  [[nodiscard]] log_status status(base::instant Now) const;
  /// See log_status::ProofAge.
  [[nodiscard]] std::optional<base::duration> proofAge(base::instant Now) const;
  /// Bytes of the journal's segments.
  [[nodiscard]] std::uint64_t journalBytes() const { return Journal->bytes(); }

private:
  struct pending_proposal {
    ticket Ticket = 0;
    log_term Term = 0;
  };
  struct pending_read {
    ticket Ticket = 0;
    base::instant RequestedAt{};
    log_index Index = 0;
  };

  replicated_log(replicated_log_options LogOptions,
                 istate_machine &StateMachine);

  base::result<void> restore(const journal::contents &Contents,
                             base::instant Now);
  ticket trackProposal(log_index Index);
  /// Handles one round of the replica's outputs; false when it must not go on.
  bool step(base::instant Now, flush_result &Result);
  base::result<void> persist(const replica_outputs &Ready);
  base::result<void> install(const snapshot &Snapshot);
  /// Keeps what needs no space; false when not even the hard state fits.
  bool handleFullDisk(replica_outputs &Ready, base::instant Now,
                      flush_result &Result);
  void applyCommitted(const std::vector<entry> &Entries, flush_result &Result);
  void finishReads(flush_result &Result);
  void failProposals(log_index From, const base::error &Error,
                     flush_result &Result);
  void failPending(flush_result &Result);
  void takeSnapshot();
  base::result<void> storeSnapshot();
  void fail(const base::error &Cause);

  replicated_log_options Options;
  istate_machine &Machine;
  std::unique_ptr<journal::journal> Journal;
  std::unique_ptr<replica> Replica;

  log_index Applied = 0;
  log_index LastSnapshot = 0;
  /// A snapshot is not tried again before this index.
  log_index NextSnapshot = 0;
  /// Moment whose committed state is fully applied here.
  std::optional<base::instant> ProvedAt;
  std::optional<base::instant> DiskFullUntil;
  std::optional<base::error> Fatal;

  ticket NextTicket = 1;
  std::map<log_index, pending_proposal> Proposals;
  std::vector<pending_read> Reads;
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_REPLICATEDLOG_H
