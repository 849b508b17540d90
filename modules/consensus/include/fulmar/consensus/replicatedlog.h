// Combines a replica with its journal and state machine. It uses no sockets and
// no threads: the caller delivers messages and the current time, and calls
// flush() after each batch of events.

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
  /// Opens the journal and restores the state machine from the last snapshot.
  /// Later entries are applied once a leader has announced the commit index.
  /// \p Files and \p Machine must outlive the log.
  static base::result<std::unique_ptr<replicated_log>>
  open(replicated_log_options Options, journal::ifilesystem &Files,
       istate_machine &Machine, base::instant Now);

  /// Queues a command. Fails with StorageFull, or with NotLeader, whose message
  /// is the leader's id or empty if there is none or it isn't ready yet.
  base::result<ticket> propose(std::string Command, base::instant Now);
  /// Starts a linearizable read. It completes once every command committed
  /// before \p Now is applied here and a quorum has confirmed that this
  /// instance was still leader after \p Now.
  base::result<ticket> read(base::instant Now);
  /// Tells the other instances the commit index at once, if this instance
  /// leads, instead of with the next heartbeat.
  void announceCommit(base::instant Now) { Replica->requestProof(Now); }
  /// Processes a message from another instance. Malformed messages are ignored.
  void deliver(const replica_id &From, std::string_view Bytes,
               base::instant Now);
  /// Advances time-outs. Call at least every quarter of the heartbeat interval.
  void tick(base::instant Now);
  /// Makes queued writes durable, with one sync for each batch, applies
  /// committed entries, and returns messages to send and completed requests.
  flush_result flush(base::instant Now);

  /// Starts a transfer of leadership to \p Target or, if that is empty, to the
  /// most up-to-date voter. The outcome is visible as a role change.
  base::result<void> transferLeadership(const replica_id &Target,
                                        base::instant Now);
  /// Adds an instance as a learner, which the leader promotes to voter once it
  /// holds all committed entries. Completes when the learner's addition is
  /// committed.
  base::result<ticket> addVoter(const replica_id &Id, base::instant Now);
  base::result<ticket> removeVoter(const replica_id &Id, base::instant Now);

  [[nodiscard]] log_status status(base::instant Now) const;
  /// See log_status::ProofAge.
  [[nodiscard]] std::optional<base::duration> proofAge(base::instant Now) const;
  /// Returns the total size of the journal's segments in bytes.
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
  /// Processes one batch of the replica's outputs. Returns false if there is
  /// nothing left to process or processing must stop.
  bool step(base::instant Now, flush_result &Result);
  base::result<void> persist(const replica_outputs &Ready);
  base::result<void> install(const snapshot &Snapshot);
  /// Drops the entries that could not be stored and stores the hard state
  /// alone. Returns false if that fails too, or if a received snapshot was not
  /// stored.
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
  /// Applied index before which a failed snapshot is not retried.
  log_index NextSnapshot = 0;
  /// Time of the newest quorum proof that covers the applied state.
  std::optional<base::instant> ProvedAt;
  std::optional<base::instant> DiskFullUntil;
  std::optional<base::error> Fatal;

  ticket NextTicket = 1;
  std::map<log_index, pending_proposal> Proposals;
  std::vector<pending_read> Reads;
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_REPLICATEDLOG_H
