// Roles, pre-votes, votes and leadership transfer.

#include "fulmar/consensus/replica.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace fulmar::consensus {

void replica::setRole(role NewRole, const replica_id &NewLeader) {
  const bool Changed = Role != NewRole || Leader != NewLeader;
  Role = NewRole;
  Leader = NewLeader;
  if (Changed)
    RoleChanges.push_back({Role, HardState.Term, Leader});
}

void replica::becomeFollower(log_term Term, const replica_id &NewLeader) {
  if (Term != HardState.Term) {
    HardState.Term = Term;
    HardState.Vote.clear();
    HardStateDirty = true;
  }
  Peers.clear();
  TransferTarget.clear();
  Votes.clear();
  setRole(role::Follower, NewLeader);
}

void replica::resetElectionDeadline(base::instant Now) {
  const auto Wait = absl::Uniform<base::duration::rep>(
      Random, Options.ElectionTimeoutMin.count(),
      Options.ElectionTimeoutMax.count());
  ElectionDeadline = Now + base::duration(Wait);
  if (LeaderSeenAt)
    return;
  // Retry early after a start: if all instances restart together, the one that
  // completes the quorum may have started just after the last attempt.
  // Pre-votes don't disrupt an active leader.
  const auto InitialWait = absl::Uniform<base::duration::rep>(
      Random, Options.InitialElectionTimeoutMax.count() / 4,
      Options.InitialElectionTimeoutMax.count());
  ElectionDeadline =
      std::min(ElectionDeadline, Now + base::duration(InitialWait));
}

bool replica::electable() const {
  const auto &Voters = Log.members().Voters;
  return !HardState.ClusterId.empty() &&
         std::any_of(Voters.begin(), Voters.end(),
                     [this](const member &Voter) { return isSelf(Voter); });
}

bool replica::hasRecentLeader(base::instant Now) const {
  if (Role == role::Leader)
    return true;
  return !Leader.empty() && LeaderSeenAt &&
         Now - *LeaderSeenAt < Options.ElectionTimeoutMin;
}

bool replica::isLogUpToDate(const vote_request &Request) const {
  return std::pair(Request.LastTerm, Request.LastIndex) >=
         std::pair(Log.lastTerm(), Log.lastIndex());
}

void replica::startPreVote(base::instant Now) {
  resetElectionDeadline(Now);
  if (!electable())
    return;
  Votes = {Options.Id};
  setRole(role::PreCandidate, {});
  if (Log.members().Voters.size() == 1)
    return startElection(false, Now);
  for (const member &Voter : Log.members().Voters) {
    if (!isSelf(Voter))
      sendAs(Voter.Id, HardState.Term + 1,
             vote_request{.LastIndex = Log.lastIndex(),
                          .LastTerm = Log.lastTerm(),
                          .PreVote = true});
  }
}

void replica::startElection(bool Transfer, base::instant Now) {
  resetElectionDeadline(Now);
  ++HardState.Term;
  HardState.Vote = Options.Id;
  HardStateDirty = true;
  Votes = {Options.Id};
  setRole(role::Candidate, {});
  if (Log.members().Voters.size() == 1)
    return becomeLeader(Now);
  for (const member &Voter : Log.members().Voters) {
    if (!isSelf(Voter))
      send(Voter.Id, vote_request{.LastIndex = Log.lastIndex(),
                                  .LastTerm = Log.lastTerm(),
                                  .Transfer = Transfer});
  }
}

void replica::on(const message &Message, const vote_request &Body,
                 base::instant Now) {
  if (Body.PreVote) {
    const bool Granted = Message.Term > HardState.Term && isLogUpToDate(Body) &&
                         !hasRecentLeader(Now);
    sendAs(Message.From, Granted ? Message.Term : HardState.Term,
           vote_response{.PreVote = true, .Granted = Granted});
    return;
  }
  const bool VoteAvailable =
      HardState.Vote.empty() || HardState.Vote == Message.From;
  const bool Granted = VoteAvailable && isLogUpToDate(Body) && Leader.empty();
  if (Granted) {
    if (Role == role::PreCandidate)
      becomeFollower(HardState.Term, {});
    if (HardState.Vote != Message.From) {
      HardState.Vote = Message.From;
      HardStateDirty = true;
    }
    resetElectionDeadline(Now);
  }
  send(Message.From, vote_response{.Granted = Granted});
}

void replica::on(const message &Message, const vote_response &Body,
                 base::instant Now) {
  if (!Body.Granted)
    return;
  const bool Expected =
      Body.PreVote
          ? Role == role::PreCandidate && Message.Term == HardState.Term + 1
          : Role == role::Candidate && Message.Term == HardState.Term;
  if (Expected)
    countVote(Message, Now);
}

void replica::countVote(const message &Message, base::instant Now) {
  const auto &Voters = Log.members().Voters;
  const member Sender{Message.From, Message.StorageId};
  if (std::find(Voters.begin(), Voters.end(), Sender) == Voters.end())
    return;
  Votes.insert(Message.From);
  if (Votes.size() <= Voters.size() / 2)
    return;
  if (Role == role::PreCandidate)
    startElection(false, Now);
  else
    becomeLeader(Now);
}

void replica::becomeLeader(base::instant Now) {
  Votes.clear();
  Peers.clear();
  ElectedAt = Now;
  setRole(role::Leader, Options.Id);
  TermStartIndex = Log.lastIndex() + 1;
  syncPeers();
  // A leader may only commit entries of its own term directly; entries of
  // earlier terms are committed along with this one.
  appendEntry(entry_kind::Noop, {});
  sendHeartbeats(Now);
}

void replica::stepDownWithoutQuorum(base::instant Now) {
  if (Role != role::Leader)
    return;
  const base::instant QuorumSeenAt =
      std::max(quorumAckedSentAt(Now).value_or(ElectedAt), ElectedAt);
  if (Now - QuorumSeenAt <= Options.ElectionTimeoutMax)
    return;
  becomeFollower(HardState.Term, {});
  resetElectionDeadline(Now);
}

void replica::followLeader(const replica_id &From, base::instant Now) {
  if (Role != role::Follower || Leader != From)
    becomeFollower(HardState.Term, From);
  LeaderSeenAt = Now;
  resetElectionDeadline(Now);
}

base::result<void> replica::transferLeadership(const replica_id &Target,
                                               base::instant Now) {
  stepDownWithoutQuorum(Now);
  BOOST_OUTCOME_TRY(checkLeader());
  const peer *Best = nullptr;
  replica_id Chosen;
  for (const member &Voter : Log.members().Voters) {
    const auto Found = Peers.find(Voter.Id);
    if (Found == Peers.end() || (!Target.empty() && Voter.Id != Target) ||
        Found->second.StorageId != Voter.StorageId)
      continue;
    if (Best == nullptr || Found->second.MatchIndex > Best->MatchIndex) {
      Best = &Found->second;
      Chosen = Voter.Id;
    }
  }
  if (Best == nullptr)
    return base::fail(base::error_kind::NotFound,
                      "no voter that can take leadership over");
  TransferTarget = Chosen;
  TransferDeadline = Now + Options.ElectionTimeoutMax;
  continueTransfer(Now);
  return base::success();
}

void replica::continueTransfer(base::instant Now) {
  if (TransferTarget.empty())
    return;
  const auto Found = Peers.find(TransferTarget);
  if (Found == Peers.end() || Now >= TransferDeadline) {
    TransferTarget.clear();
    return;
  }
  if (Found->second.MatchIndex == Log.lastIndex())
    send(TransferTarget, timeout_now{});
}

void replica::on(const message &Message, const timeout_now & /*Body*/,
                 base::instant Now) {
  if (electable() && Role == role::Follower && Message.From == Leader)
    startElection(true, Now);
}

} // namespace fulmar::consensus
