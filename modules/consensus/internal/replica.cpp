// Message dispatch, outputs and proposals of a replica.

#include "fulmar/consensus/replica.h"

#include "fulmar/base/rendezvous.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace fulmar::consensus {

replica::replica(replica_options ReplicaOptions, replica_state Stored,
                 base::instant Now)
    : Options(std::move(ReplicaOptions)),
      Random(Options.Seed ^ base::digest(Options.Id)),
      HardState(std::move(Stored.HardState)), StartedAt(Now) {
  if (Stored.Snapshot)
    Log.reset(std::move(Stored.Snapshot));
  for (entry &Entry : Stored.Entries)
    Log.append(std::move(Entry));
  Commit = Log.snapshotIndex();
  DeliveredIndex = Commit;
  PersistedIndex = Log.lastIndex();
  if (HardState.StorageId.empty()) {
    HardState.StorageId = generateId();
    HardStateDirty = true;
  }
  resetElectionDeadline(Now);
}

std::string replica::generateId() {
  char Digits[17];
  std::snprintf(Digits, sizeof(Digits), "%016llx",
                static_cast<unsigned long long>(Random()));
  return Digits;
}

bool replica::isSelf(const member &Member) const {
  return Member.Id == Options.Id && Member.StorageId == HardState.StorageId;
}

void replica::tick(base::instant Now) {
  stepDownWithoutQuorum(Now);
  if (Role != role::Leader) {
    probeInitialVoters(Now);
    if (Now >= ElectionDeadline)
      startPreVote(Now);
    return;
  }
  if (Log.lastIndex() < TermStartIndex)
    appendEntry(entry_kind::Noop, {});
  if (Now - LastHeartbeat >= Options.HeartbeatInterval)
    sendHeartbeats(Now);
  retryUnanswered(Now);
  continueTransfer(Now);
  maintainMembers(Now);
}

void replica::receive(const message &Message, base::instant Now) {
  if (Message.To != Options.Id || Message.From == Options.Id)
    return;
  stepDownWithoutQuorum(Now);
  if (!acceptClusterId(Message) || !reconcileTerm(Message, Now))
    return;
  std::visit([&](const auto &Body) { on(Message, Body, Now); }, Message.Body);
}

bool replica::acceptClusterId(const message &Message) {
  if (std::holds_alternative<bootstrap_probe>(Message.Body) ||
      std::holds_alternative<bootstrap_reply>(Message.Body))
    return true;
  if (!HardState.ClusterId.empty())
    return Message.ClusterId == HardState.ClusterId;
  // An instance with an empty folder joins the cluster of the first leader that
  // contacts it.
  const bool FromLeader =
      std::holds_alternative<append_request>(Message.Body) ||
      std::holds_alternative<heartbeat_request>(Message.Body) ||
      std::holds_alternative<snapshot_request>(Message.Body);
  if (!FromLeader || Message.ClusterId.empty())
    return false;
  HardState.ClusterId = Message.ClusterId;
  HardStateDirty = true;
  return true;
}

bool replica::reconcileTerm(const message &Message, base::instant Now) {
  if (std::holds_alternative<bootstrap_probe>(Message.Body) ||
      std::holds_alternative<bootstrap_reply>(Message.Body))
    return true;
  if (Message.Term < HardState.Term) {
    replyToStaleTerm(Message);
    return false;
  }
  if (Message.Term == HardState.Term)
    return true;
  if (const auto *Request = std::get_if<vote_request>(&Message.Body)) {
    if (Request->PreVote)
      return true;
    // Leader stickiness: a follower in contact with a leader ignores elections
    // that the leader didn't request.
    if (!Request->Transfer && hasRecentLeader(Now))
      return false;
  }
  if (const auto *Response = std::get_if<vote_response>(&Message.Body)) {
    if (Response->PreVote && Response->Granted)
      return true;
  }
  becomeFollower(Message.Term, {});
  return true;
}

void replica::replyToStaleTerm(const message &Message) {
  if (const auto *Request = std::get_if<vote_request>(&Message.Body)) {
    send(Message.From, vote_response{.PreVote = Request->PreVote});
    return;
  }
  // The higher term in the response makes a leader of an earlier term step
  // down.
  if (std::holds_alternative<append_request>(Message.Body) ||
      std::holds_alternative<heartbeat_request>(Message.Body) ||
      std::holds_alternative<snapshot_request>(Message.Body))
    send(Message.From, append_response{});
}

void replica::send(const replica_id &To, message_body Body) {
  sendAs(To, HardState.Term, std::move(Body));
}

void replica::sendAs(const replica_id &To, log_term Term, message_body Body) {
  Messages.push_back({.ClusterId = HardState.ClusterId,
                      .From = Options.Id,
                      .To = To,
                      .StorageId = HardState.StorageId,
                      .Term = Term,
                      .Body = std::move(Body)});
}

replica_outputs replica::takeOutputs() {
  replica_outputs Ready;
  if (HardStateDirty)
    Ready.HardState = HardState;
  Ready.Installed = Installed;
  for (log_index Index = PersistedIndex + 1; Index <= Log.lastIndex(); ++Index)
    Ready.Entries.push_back(Log.at(Index));
  if (!Installed) {
    const log_index Until = std::min(Commit, PersistedIndex);
    for (; DeliveredIndex < Until; ++DeliveredIndex)
      Ready.Committed.push_back(Log.at(DeliveredIndex + 1));
  }
  if (PendingProof && DeliveredIndex >= PendingProof->CommitIndex) {
    FollowerProvedAt =
        std::max(FollowerProvedAt, std::optional(PendingProof->At));
    PendingProof.reset();
  }
  Ready.Messages = std::exchange(Messages, {});
  Ready.RoleChanges = std::exchange(RoleChanges, {});
  return Ready;
}

void replica::confirmPersisted(base::instant Now) {
  HardStateDirty = false;
  Installed.reset();
  PersistedIndex = Log.lastIndex();
  if (Role != role::Leader)
    return;
  advanceCommit(Now);
  sendAllAppends(Now);
}

void replica::discardUnpersisted() {
  Log.truncateFrom(PersistedIndex + 1);
  Commit = std::min(Commit, PersistedIndex);
  if (Role == role::Leader)
    syncPeers();
}

void replica::compact(std::shared_ptr<const snapshot> Snapshot) {
  Log.compact(std::move(Snapshot), Options.TrailingEntries);
}

base::result<void> replica::checkLeader() const {
  if (Role != role::Leader)
    return base::fail(base::error_kind::NotLeader, Leader);
  if (!TransferTarget.empty())
    return base::fail(base::error_kind::NotLeader, TransferTarget);
  return base::success();
}

base::result<log_index> replica::propose(std::string Command,
                                         base::instant Now) {
  stepDownWithoutQuorum(Now);
  BOOST_OUTCOME_TRY(checkLeader());
  if (!Log.members().Formed)
    return base::fail(base::error_kind::NotLeader, {});
  return appendEntry(entry_kind::Command, std::move(Command));
}

std::optional<base::instant> replica::provedAt(base::instant Now) const {
  if (Role != role::Leader)
    return FollowerProvedAt;
  if (DeliveredIndex < Commit)
    return FollowerProvedAt;
  return std::max(FollowerProvedAt, commitProvedAt(Now));
}

void replica::requestProof(base::instant Now) {
  if (Role == role::Leader)
    sendHeartbeats(Now);
}

} // namespace fulmar::consensus
