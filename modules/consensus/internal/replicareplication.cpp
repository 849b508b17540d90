// Log replication: append requests, heartbeats, snapshots and the commit index.

#include "fulmar/consensus/replica.h"

#include <algorithm>
#include <functional>

namespace fulmar::consensus {

namespace {

/// Heartbeat intervals without a response after which a request is resent.
constexpr int RetryHeartbeats = 2;

/// Returns the largest value that a majority of \p Values has reached.
template <typename Value> Value majorityValue(std::vector<Value> Values) {
  if (Values.empty())
    return Value{};
  std::sort(Values.begin(), Values.end(), std::greater<>());
  return Values[Values.size() / 2];
}

bool contiguous(const append_request &Body) {
  log_index Expected = Body.PrevIndex;
  return std::all_of(
      Body.Entries.begin(), Body.Entries.end(),
      [&Expected](const entry &Entry) { return Entry.Index == ++Expected; });
}

} // namespace

log_index replica::appendEntry(entry_kind Kind, std::string Payload) {
  const log_index Index = Log.lastIndex() + 1;
  Log.append({.Index = Index,
              .Term = HardState.Term,
              .Kind = static_cast<std::uint8_t>(Kind),
              .Payload = std::move(Payload)});
  return Index;
}

void replica::on(const message &Message, const append_request &Body,
                 base::instant Now) {
  followLeader(Message.From, Now);
  if (!contiguous(Body))
    return;
  // Committed entries match the log of every later leader, so the check can
  // start at the commit index.
  const log_index Prev = std::max(Body.PrevIndex, Commit);
  const auto LocalPrevTerm = Log.termAt(Prev);
  const log_term LeaderPrevTerm =
      Prev == Body.PrevIndex ? Body.PrevTerm : LocalPrevTerm.value_or(0);
  if (LocalPrevTerm != LeaderPrevTerm) {
    log_index PossibleMatch = std::min(Prev - 1, Log.lastIndex());
    while (PossibleMatch > Commit && Log.termAt(PossibleMatch) > Body.PrevTerm)
      --PossibleMatch;
    send(Message.From, append_response{.Success = false,
                                       .MatchIndex = PossibleMatch,
                                       .SentAt = Body.SentAt});
    return;
  }
  acceptEntries(Body, Prev);
  const log_index MatchIndex =
      std::max(Prev, Body.PrevIndex + Body.Entries.size());
  Commit = std::max(Commit, std::min(Body.Commit, MatchIndex));
  send(Message.From, append_response{.Success = true,
                                     .MatchIndex = MatchIndex,
                                     .SentAt = Body.SentAt});
}

void replica::acceptEntries(const append_request &Body, log_index Prev) {
  for (const entry &Entry : Body.Entries) {
    if (Entry.Index <= Prev || Log.termAt(Entry.Index) == Entry.Term)
      continue;
    if (Entry.Index <= Log.lastIndex()) {
      Log.truncateFrom(Entry.Index);
      PersistedIndex = std::min(PersistedIndex, Entry.Index - 1);
    }
    Log.append(Entry);
  }
}

peer *replica::recordResponse(const message &Message, timestamp SentAt,
                              base::instant Now) {
  const auto Found = Peers.find(Message.From);
  const base::instant Sent = toInstant(SentAt);
  if (Role != role::Leader || Found == Peers.end() || Sent < ElectedAt ||
      Sent > Now)
    return nullptr;
  peer &Peer = Found->second;
  if (Peer.StorageId != Message.StorageId) {
    // A late response from storage that has been replaced since.
    if (Peer.LastAckedSentAt && Sent < *Peer.LastAckedSentAt)
      return nullptr;
    Peer = {.StorageId = Message.StorageId, .NextIndex = Log.lastIndex() + 1};
  }
  Peer.LastAckedSentAt = std::max(Peer.LastAckedSentAt, std::optional(Sent));
  return &Peer;
}

void replica::recordAppendSuccess(peer &Peer) {
  switch (Peer.Mode) {
  case peer_mode::Probe:
    Peer.Mode = peer_mode::Replicate;
    Peer.NextIndex = Peer.MatchIndex + 1;
    Peer.InFlight = 0;
    return;
  case peer_mode::Replicate:
    Peer.InFlight -= std::min<std::size_t>(Peer.InFlight, 1);
    return;
  case peer_mode::Snapshot:
    // A late response to an append request. Snapshot chunks are acknowledged by
    // snapshot_response only.
    if (!Peer.OutgoingSnapshot ||
        Peer.MatchIndex >= Peer.OutgoingSnapshot->Index)
      Peer.restartProbing();
    return;
  }
}

void replica::on(const message &Message, const append_response &Body,
                 base::instant Now) {
  peer *Peer = recordResponse(Message, Body.SentAt, Now);
  if (Peer == nullptr || Body.MatchIndex > Log.lastIndex())
    return;
  if (!Body.Success) {
    if (Body.MatchIndex < Peer->MatchIndex || Peer->Mode == peer_mode::Snapshot)
      return;
    const log_index NextIndex =
        std::min(Peer->NextIndex - 1, Body.MatchIndex + 1);
    Peer->restartProbing();
    Peer->NextIndex = std::max(Peer->NextIndex, NextIndex);
    sendAppends(Message.From, *Peer, Now);
    return;
  }
  Peer->MatchIndex = std::max(Peer->MatchIndex, Body.MatchIndex);
  Peer->NextIndex = std::max(Peer->NextIndex, Peer->MatchIndex + 1);
  recordAppendSuccess(*Peer);
  advanceCommit(Now);
  if (Role != role::Leader)
    return;
  sendAppends(Message.From, *Peer, Now);
  continueTransfer(Now);
}

void replica::sendAppends(const replica_id &To, peer &Peer, base::instant Now) {
  const bool Probing = Peer.Mode == peer_mode::Probe;
  const std::size_t Limit = Probing ? 1 : Options.MaxInFlight;
  while (Peer.Mode != peer_mode::Snapshot && Peer.InFlight < Limit &&
         (Probing || Peer.NextIndex <= PersistedIndex)) {
    const auto PrevTerm = Log.termAt(Peer.NextIndex - 1);
    if (!PrevTerm)
      return sendSnapshotChunk(To, Peer, Now);
    append_request Request{.PrevIndex = Peer.NextIndex - 1,
                           .PrevTerm = *PrevTerm,
                           .Entries = Log.slice(Peer.NextIndex, PersistedIndex,
                                                Options.MaxBatchEntries,
                                                Options.MaxBatchBytes),
                           .Commit = Commit,
                           .SentAt = toTimestamp(Now)};
    if (!Probing)
      Peer.NextIndex += Request.Entries.size();
    ++Peer.InFlight;
    Peer.LastSent = Now;
    send(To, std::move(Request));
  }
}

void replica::sendAllAppends(base::instant Now) {
  for (auto &[Id, Peer] : Peers)
    sendAppends(Id, Peer, Now);
}

void replica::retryUnanswered(base::instant Now) {
  for (auto &[Id, Peer] : Peers) {
    // Duplicate responses can make InFlight too small, so also check NextIndex.
    const bool Waiting =
        Peer.InFlight > 0 || Peer.NextIndex > Peer.MatchIndex + 1;
    if (!Waiting ||
        Now - Peer.LastSent < RetryHeartbeats * Options.HeartbeatInterval)
      continue;
    if (Peer.Mode == peer_mode::Snapshot) {
      sendSnapshotChunk(Id, Peer, Now);
      continue;
    }
    Peer.restartProbing();
    sendAppends(Id, Peer, Now);
  }
}

void replica::sendHeartbeats(base::instant Now) {
  LastHeartbeat = Now;
  const auto Proof = commitProvedAt(Now);
  for (auto &[Id, Peer] : Peers) {
    heartbeat_request Request{.Commit = std::min(Commit, Peer.MatchIndex),
                              .FollowerStorageId = Peer.StorageId,
                              .SentAt = toTimestamp(Now)};
    if (Proof) {
      Request.ProofRequestedAt = Peer.ProofRequestedAt;
      Request.ProofAge = (Now - *Proof).count();
      Request.ProofCommit = Commit;
    }
    send(Id, std::move(Request));
    if (Peer.InFlight == 0)
      sendAppends(Id, Peer, Now);
  }
}

void replica::on(const message &Message, const heartbeat_request &Body,
                 base::instant Now) {
  followLeader(Message.From, Now);
  if (Body.FollowerStorageId == HardState.StorageId)
    Commit = std::max(Commit, std::min(Body.Commit, Log.lastIndex()));
  const bool AnswersOwnRequest =
      Body.ProofRequestedAt && Body.ProofAge >= 0 &&
      toInstant(*Body.ProofRequestedAt) >= StartedAt &&
      toInstant(*Body.ProofRequestedAt) <= Now;
  if (AnswersOwnRequest && !PendingProof)
    PendingProof =
        proof{toInstant(*Body.ProofRequestedAt) - base::duration(Body.ProofAge),
              Body.ProofCommit};
  send(Message.From, heartbeat_response{.SentAt = Body.SentAt,
                                        .ProofRequestedAt = toTimestamp(Now)});
}

void replica::on(const message &Message, const heartbeat_response &Body,
                 base::instant Now) {
  peer *Peer = recordResponse(Message, Body.SentAt, Now);
  if (Peer == nullptr)
    return;
  Peer->ProofRequestedAt =
      std::max(Peer->ProofRequestedAt, std::optional(Body.ProofRequestedAt));
  if (Peer->InFlight == 0)
    sendAppends(Message.From, *Peer, Now);
}

std::optional<base::instant>
replica::quorumAckedSentAt(base::instant Now) const {
  std::vector<std::optional<base::instant>> AckedSentAt;
  for (const member &Voter : Log.members().Voters) {
    const auto Found = Peers.find(Voter.Id);
    if (isSelf(Voter))
      AckedSentAt.push_back(Now);
    else if (Found != Peers.end() && Found->second.StorageId == Voter.StorageId)
      AckedSentAt.push_back(Found->second.LastAckedSentAt);
    else
      AckedSentAt.push_back(std::nullopt);
  }
  return majorityValue(std::move(AckedSentAt));
}

std::optional<base::instant> replica::commitProvedAt(base::instant Now) const {
  // Until the first entry of its own term is committed, a leader doesn't know
  // everything that earlier leaders committed.
  if (Commit < TermStartIndex)
    return std::nullopt;
  return quorumAckedSentAt(Now);
}

void replica::advanceCommit(base::instant Now) {
  std::vector<log_index> MatchIndexes;
  for (const member &Voter : Log.members().Voters) {
    const auto Found = Peers.find(Voter.Id);
    if (isSelf(Voter))
      MatchIndexes.push_back(PersistedIndex);
    else if (Found != Peers.end() && Found->second.StorageId == Voter.StorageId)
      MatchIndexes.push_back(Found->second.MatchIndex);
    else
      MatchIndexes.push_back(0);
  }
  const log_index MajorityIndex = majorityValue(std::move(MatchIndexes));
  if (MajorityIndex <= Commit || Log.termAt(MajorityIndex) != HardState.Term)
    return;
  Commit = MajorityIndex;
  sendHeartbeats(Now);
  if (Log.membersIndex() <= Commit && !electable())
    becomeFollower(HardState.Term, {});
}

void replica::sendSnapshotChunk(const replica_id &To, peer &Peer,
                                base::instant Now) {
  if (!Peer.OutgoingSnapshot) {
    Peer.Mode = peer_mode::Snapshot;
    Peer.OutgoingSnapshot = Log.lastSnapshot();
    Peer.SnapshotOffset = 0;
  }
  const auto &Snapshot = Peer.OutgoingSnapshot;
  if (!Snapshot)
    return;
  Peer.InFlight = 1;
  Peer.LastSent = Now;
  send(To,
       snapshot_request{.Index = Snapshot->Index,
                        .LastTerm = Snapshot->Term,
                        .Members = Snapshot->Members,
                        .Offset = Peer.SnapshotOffset,
                        .Total = Snapshot->State.size(),
                        .Data = Snapshot->State.substr(
                            Peer.SnapshotOffset, Options.SnapshotChunkBytes),
                        .SentAt = toTimestamp(Now)});
}

void replica::on(const message &Message, const snapshot_request &Body,
                 base::instant Now) {
  followLeader(Message.From, Now);
  snapshot_response Response{.Index = Body.Index, .SentAt = Body.SentAt};
  if (Body.Index <= Commit) {
    Response.Installed = true;
    send(Message.From, Response);
    return;
  }
  const bool ContinuesTransfer = IncomingSnapshot.From == Message.From &&
                                 IncomingSnapshot.Index == Body.Index &&
                                 IncomingSnapshot.Term == Body.LastTerm &&
                                 IncomingSnapshot.Total == Body.Total;
  if (!ContinuesTransfer)
    IncomingSnapshot = {
        Message.From, Body.Index, Body.LastTerm, Body.Total, {}};
  if (Body.Offset == IncomingSnapshot.Data.size())
    IncomingSnapshot.Data += Body.Data;
  Response.Received = IncomingSnapshot.Data.size();
  if (IncomingSnapshot.Data.size() == Body.Total) {
    installSnapshot(Body);
    Response.Installed = true;
  }
  send(Message.From, Response);
}

void replica::installSnapshot(const snapshot_request &Body) {
  Installed = std::make_shared<snapshot>(
      snapshot{.Index = Body.Index,
               .Term = Body.LastTerm,
               .Members = Body.Members,
               .State = std::move(IncomingSnapshot.Data)});
  IncomingSnapshot = {};
  Log.reset(Installed);
  Commit = Body.Index;
  DeliveredIndex = Body.Index;
  PersistedIndex = Body.Index;
}

void replica::on(const message &Message, const snapshot_response &Body,
                 base::instant Now) {
  peer *Peer = recordResponse(Message, Body.SentAt, Now);
  if (Peer == nullptr || Peer->Mode != peer_mode::Snapshot ||
      !Peer->OutgoingSnapshot || Body.Index != Peer->OutgoingSnapshot->Index)
    return;
  if (Body.Installed) {
    Peer->MatchIndex = std::max(Peer->MatchIndex, Body.Index);
    Peer->restartProbing();
    sendAppends(Message.From, *Peer, Now);
    return;
  }
  if (Body.Received > Peer->OutgoingSnapshot->State.size())
    return;
  Peer->SnapshotOffset = Body.Received;
  sendSnapshotChunk(Message.From, *Peer, Now);
}

} // namespace fulmar::consensus
