// Append requests, heartbeats, snapshots and the commit index.

#include "fulmar/consensus/replica.h"

#include <algorithm>
#include <functional>

namespace fulmar::consensus {

namespace {

/// Requests unanswered for this many heartbeats are sent again.
constexpr int RetryHeartbeats = 2;

/// The largest value that a majority has reached.
template <typename Value> Value majorityValue(std::vector<Value> Reached) {
  if (Reached.empty())
    return Value{};
  std::sort(Reached.begin(), Reached.end(), std::greater<>());
  return Reached[Reached.size() / 2];
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
  noteLeader(Message.From, Now);
  if (!contiguous(Body))
    return;
  // Committed entries match every later leader's log.
  const log_index Prev = std::max(Body.PrevIndex, Commit);
  const auto Held = Log.termAt(Prev);
  const log_term Expected =
      Prev == Body.PrevIndex ? Body.PrevTerm : Held.value_or(0);
  if (Held != Expected) {
    log_index MayMatch = std::min(Prev - 1, Log.lastIndex());
    while (MayMatch > Commit && Log.termAt(MayMatch) > Body.PrevTerm)
      --MayMatch;
    send(Message.From, append_response{.Success = false,
                                       .Match = MayMatch,
                                       .SentAt = Body.SentAt});
    return;
  }
  acceptEntries(Body, Prev);
  const log_index Match = std::max(Prev, Body.PrevIndex + Body.Entries.size());
  Commit = std::max(Commit, std::min(Body.Commit, Match));
  send(Message.From,
       append_response{.Success = true, .Match = Match, .SentAt = Body.SentAt});
}

void replica::acceptEntries(const append_request &Body, log_index Prev) {
  for (const entry &Entry : Body.Entries) {
    if (Entry.Index <= Prev || Log.termAt(Entry.Index) == Entry.Term)
      continue;
    if (Entry.Index <= Log.lastIndex()) {
      Log.truncateFrom(Entry.Index);
      Persisted = std::min(Persisted, Entry.Index - 1);
    }
    Log.append(Entry);
  }
}

peer *replica::noteAnswer(const message &Message, stamp SentAt,
                          base::instant Now) {
  const auto Found = Peers.find(Message.From);
  const base::instant Sent = instantOf(SentAt);
  if (Role != role::Leader || Found == Peers.end() || Sent < ElectedAt ||
      Sent > Now)
    return nullptr;
  peer &Peer = Found->second;
  if (Peer.StorageId != Message.StorageId) {
    // A late answer of a disk that has been replaced since.
    if (Peer.AckedAt && Sent < *Peer.AckedAt)
      return nullptr;
    Peer = {.StorageId = Message.StorageId, .Next = Log.lastIndex() + 1};
  }
  Peer.AckedAt = std::max(Peer.AckedAt, std::optional(Sent));
  return &Peer;
}

void replica::noteSuccess(peer &Peer) {
  switch (Peer.Mode) {
  case peer_mode::Probe:
    Peer.Mode = peer_mode::Replicate;
    Peer.Next = Peer.Match + 1;
    Peer.InFlight = 0;
    return;
  case peer_mode::Replicate:
    Peer.InFlight -= std::min<std::size_t>(Peer.InFlight, 1);
    return;
  case peer_mode::Snapshot:
    // A late answer; the snapshot's own answers count its requests.
    if (!Peer.Sending || Peer.Match >= Peer.Sending->Index)
      Peer.probeAgain();
    return;
  }
}

void replica::on(const message &Message, const append_response &Body,
                 base::instant Now) {
  peer *Peer = noteAnswer(Message, Body.SentAt, Now);
  if (Peer == nullptr || Body.Match > Log.lastIndex())
    return;
  if (!Body.Success) {
    if (Body.Match < Peer->Match || Peer->Mode == peer_mode::Snapshot)
      return;
    const log_index Next = std::min(Peer->Next - 1, Body.Match + 1);
    Peer->probeAgain();
    Peer->Next = std::max(Peer->Next, Next);
    sendAppends(Message.From, *Peer, Now);
    return;
  }
  Peer->Match = std::max(Peer->Match, Body.Match);
  Peer->Next = std::max(Peer->Next, Peer->Match + 1);
  noteSuccess(*Peer);
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
         (Probing || Peer.Next <= Persisted)) {
    const auto PrevTerm = Log.termAt(Peer.Next - 1);
    if (!PrevTerm)
      return sendSnapshotChunk(To, Peer, Now);
    append_request Request{.PrevIndex = Peer.Next - 1,
                           .PrevTerm = *PrevTerm,
                           .Entries = Log.slice(Peer.Next, Persisted,
                                                Options.MaxBatchEntries,
                                                Options.MaxBatchBytes),
                           .Commit = Commit,
                           .SentAt = stampOf(Now)};
    if (!Probing)
      Peer.Next += Request.Entries.size();
    ++Peer.InFlight;
    Peer.LastSent = Now;
    send(To, std::move(Request));
  }
}

void replica::sendAllAppends(base::instant Now) {
  for (auto &[Id, Peer] : Peers)
    sendAppends(Id, Peer, Now);
}

void replica::retryStalled(base::instant Now) {
  for (auto &[Id, Peer] : Peers) {
    // Doubled answers make InFlight too small, so that Next decides too.
    const bool Waiting = Peer.InFlight > 0 || Peer.Next > Peer.Match + 1;
    if (!Waiting || Now - Peer.LastSent < RetryHeartbeats * Options.Heartbeat)
      continue;
    if (Peer.Mode == peer_mode::Snapshot) {
      sendSnapshotChunk(Id, Peer, Now);
      continue;
    }
    Peer.probeAgain();
    sendAppends(Id, Peer, Now);
  }
}

void replica::sendHeartbeats(base::instant Now) {
  LastHeartbeat = Now;
  const auto Proof = commitProvedAt(Now);
  for (auto &[Id, Peer] : Peers) {
    heartbeat_request Request{.Commit = std::min(Commit, Peer.Match),
                              .ForStorage = Peer.StorageId,
                              .SentAt = stampOf(Now)};
    if (Proof) {
      Request.AskedAt = Peer.AskedAt;
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
  noteLeader(Message.From, Now);
  if (Body.ForStorage == HardState.StorageId)
    Commit = std::max(Commit, std::min(Body.Commit, Log.lastIndex()));
  const bool Answered = Body.AskedAt && Body.ProofAge >= 0 &&
                        instantOf(*Body.AskedAt) >= StartedAt &&
                        instantOf(*Body.AskedAt) <= Now;
  if (Answered && !PendingProof)
    PendingProof =
        proof{instantOf(*Body.AskedAt) - base::duration(Body.ProofAge),
              Body.ProofCommit};
  send(Message.From,
       heartbeat_response{.SentAt = Body.SentAt, .AskedAt = stampOf(Now)});
}

void replica::on(const message &Message, const heartbeat_response &Body,
                 base::instant Now) {
  peer *Peer = noteAnswer(Message, Body.SentAt, Now);
  if (Peer == nullptr)
    return;
  Peer->AskedAt = std::max(Peer->AskedAt, std::optional(Body.AskedAt));
  if (Peer->InFlight == 0)
    sendAppends(Message.From, *Peer, Now);
}

std::optional<base::instant>
replica::quorumAnsweredAt(base::instant Now) const {
  std::vector<std::optional<base::instant>> Answered;
  for (const member &Voter : Log.members().Voters) {
    const auto Found = Peers.find(Voter.Id);
    if (isSelf(Voter))
      Answered.push_back(Now);
    else if (Found != Peers.end() && Found->second.StorageId == Voter.StorageId)
      Answered.push_back(Found->second.AckedAt);
    else
      Answered.push_back(std::nullopt);
  }
  return majorityValue(std::move(Answered));
}

std::optional<base::instant> replica::commitProvedAt(base::instant Now) const {
  // Before its first own entry is committed, a leader doesn't know all that
  // earlier leaders committed.
  if (Commit < TermStart)
    return std::nullopt;
  return quorumAnsweredAt(Now);
}

void replica::advanceCommit(base::instant Now) {
  std::vector<log_index> Held;
  for (const member &Voter : Log.members().Voters) {
    const auto Found = Peers.find(Voter.Id);
    if (isSelf(Voter))
      Held.push_back(Persisted);
    else if (Found != Peers.end() && Found->second.StorageId == Voter.StorageId)
      Held.push_back(Found->second.Match);
    else
      Held.push_back(0);
  }
  const log_index Reached = majorityValue(std::move(Held));
  if (Reached <= Commit || Log.termAt(Reached) != HardState.Term)
    return;
  Commit = Reached;
  sendHeartbeats(Now);
  if (Log.membersIndex() <= Commit && !electable())
    becomeFollower(HardState.Term, {});
}

void replica::sendSnapshotChunk(const replica_id &To, peer &Peer,
                                base::instant Now) {
  if (!Peer.Sending) {
    Peer.Mode = peer_mode::Snapshot;
    Peer.Sending = Log.lastSnapshot();
    Peer.SnapshotOffset = 0;
  }
  const auto &Snapshot = Peer.Sending;
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
                        .SentAt = stampOf(Now)});
}

void replica::on(const message &Message, const snapshot_request &Body,
                 base::instant Now) {
  noteLeader(Message.From, Now);
  snapshot_response Response{.Index = Body.Index, .SentAt = Body.SentAt};
  if (Body.Index <= Commit) {
    Response.Installed = true;
    send(Message.From, Response);
    return;
  }
  const bool Continues =
      Incoming.From == Message.From && Incoming.Index == Body.Index &&
      Incoming.Term == Body.LastTerm && Incoming.Total == Body.Total;
  if (!Continues)
    Incoming = {Message.From, Body.Index, Body.LastTerm, Body.Total, {}};
  if (Body.Offset == Incoming.Data.size())
    Incoming.Data += Body.Data;
  Response.Received = Incoming.Data.size();
  if (Incoming.Data.size() == Body.Total) {
    installSnapshot(Body);
    Response.Installed = true;
  }
  send(Message.From, Response);
}

void replica::installSnapshot(const snapshot_request &Body) {
  Installed =
      std::make_shared<snapshot>(snapshot{.Index = Body.Index,
                                          .Term = Body.LastTerm,
                                          .Members = Body.Members,
                                          .State = std::move(Incoming.Data)});
  Incoming = {};
  Log.reset(Installed);
  Commit = Body.Index;
  Delivered = Body.Index;
  Persisted = Body.Index;
}

void replica::on(const message &Message, const snapshot_response &Body,
                 base::instant Now) {
  peer *Peer = noteAnswer(Message, Body.SentAt, Now);
  if (Peer == nullptr || Peer->Mode != peer_mode::Snapshot || !Peer->Sending ||
      Body.Index != Peer->Sending->Index)
    return;
  if (Body.Installed) {
    Peer->Match = std::max(Peer->Match, Body.Index);
    Peer->probeAgain();
    sendAppends(Message.From, *Peer, Now);
    return;
  }
  if (Body.Received > Peer->Sending->State.size())
    return;
  Peer->SnapshotOffset = Body.Received;
  sendSnapshotChunk(Message.From, *Peer, Now);
}

} // namespace fulmar::consensus
