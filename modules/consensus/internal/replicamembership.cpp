// Single-voter membership changes, addition of new instances and of instances
// with a replaced disk, and the bootstrap of a new cluster.

#include "fulmar/consensus/replica.h"

#include <algorithm>

namespace fulmar::consensus {

namespace {

bool removeFrom(std::vector<member> &Members, const replica_id &Id) {
  return std::erase_if(Members, [&Id](const member &Member) {
           return Member.Id == Id;
         }) > 0;
}

bool contains(const std::vector<member> &Members, const replica_id &Id) {
  return std::any_of(Members.begin(), Members.end(),
                     [&Id](const member &Member) { return Member.Id == Id; });
}

} // namespace

base::result<log_index> replica::changeMembers(const configuration &Members,
                                               base::instant Now) {
  stepDownWithoutQuorum(Now);
  BOOST_OUTCOME_TRY(checkLeader());
  // Only one change may be pending, and none may start before this term has
  // committed an entry. The quorums of consecutive configurations then always
  // overlap.
  if (Commit < TermStartIndex || Log.membersIndex() > Commit)
    return base::fail(base::error_kind::Conflict,
                      "another membership change is under way");
  const log_index Index =
      appendEntry(entry_kind::Configuration, encode(Members));
  syncPeers();
  return Index;
}

base::result<log_index> replica::addMember(const replica_id &Added,
                                           base::instant Now) {
  configuration Members = Log.members();
  if (contains(Members.Voters, Added) || contains(Members.Learners, Added))
    return base::fail(base::error_kind::Conflict,
                      Added + " is a member already");
  Members.Learners.push_back({Added, {}});
  return changeMembers(Members, Now);
}

base::result<log_index> replica::removeMember(const replica_id &Removed,
                                              base::instant Now) {
  configuration Members = Log.members();
  const bool Found = removeFrom(Members.Voters, Removed) ||
                     removeFrom(Members.Learners, Removed);
  if (!Found)
    return base::fail(base::error_kind::NotFound, Removed + " is no member");
  if (Members.Voters.empty())
    return base::fail(base::error_kind::Conflict,
                      Removed + " is the only voter");
  return changeMembers(Members, Now);
}

void replica::syncPeers() {
  std::set<replica_id> Wanted;
  for (const auto *Members : {&Log.members().Voters, &Log.members().Learners}) {
    for (const member &Member : *Members) {
      if (!isSelf(Member))
        Wanted.insert(Member.Id);
    }
  }
  std::erase_if(Peers, [&Wanted](const auto &Held) {
    return !Wanted.contains(Held.first);
  });
  for (const replica_id &Id : Wanted)
    Peers.try_emplace(Id, peer{.NextIndex = Log.lastIndex() + 1});
}

void replica::maintainMembers(base::instant Now) {
  if (Role != role::Leader || !TransferTarget.empty() ||
      Commit < TermStartIndex || Log.membersIndex() > Commit)
    return;
  if (const auto Members = nextMembers(Now))
    (void)changeMembers(*Members, Now);
}

std::optional<configuration> replica::nextMembers(base::instant Now) const {
  configuration Members = Log.members();
  // A voter whose disk was replaced becomes a learner until it has caught up.
  for (const member &Voter : Members.Voters) {
    const auto Found = Peers.find(Voter.Id);
    if (Found == Peers.end() || Found->second.StorageId.empty() ||
        Found->second.StorageId == Voter.StorageId)
      continue;
    Members.Learners.push_back({Voter.Id, Found->second.StorageId});
    removeFrom(Members.Voters, replica_id(Voter.Id));
    return Members;
  }
  for (member &Learner : Members.Learners) {
    const auto Found = Peers.find(Learner.Id);
    if (Found == Peers.end() || Found->second.StorageId.empty())
      continue;
    const peer &Peer = Found->second;
    if (Peer.StorageId != Learner.StorageId) {
      Learner.StorageId = Peer.StorageId;
      return Members;
    }
    const bool Reachable =
        Peer.LastAckedSentAt &&
        Now - *Peer.LastAckedSentAt < Options.ElectionTimeoutMin;
    if (!Reachable || Peer.MatchIndex < Commit)
      continue;
    const member Promoted = Learner;
    removeFrom(Members.Learners, Promoted.Id);
    Members.Voters.push_back(Promoted);
    std::sort(Members.Voters.begin(), Members.Voters.end());
    return Members;
  }
  if (Members.Formed)
    return std::nullopt;
  for (const replica_id &Id : Options.InitialVoters) {
    if (contains(Members.Voters, Id) || contains(Members.Learners, Id))
      continue;
    Members.Learners.push_back({Id, {}});
    return Members;
  }
  if (!Members.Learners.empty())
    return std::nullopt;
  Members.Formed = true;
  return Members;
}

void replica::probeInitialVoters(base::instant Now) {
  const bool IsBootstrapper =
      Options.Bootstrap && !Options.InitialVoters.empty() &&
      *std::min_element(Options.InitialVoters.begin(),
                        Options.InitialVoters.end()) == Options.Id;
  if (!IsBootstrapper || !HardState.ClusterId.empty())
    return;
  if (EmptyInitialVoters.size() + 1 >= Options.InitialVoters.size())
    return formCluster(Now);
  if (ProbedAt && Now - *ProbedAt < Options.HeartbeatInterval)
    return;
  ProbedAt = Now;
  for (const replica_id &Id : Options.InitialVoters) {
    if (Id != Options.Id)
      send(Id, bootstrap_probe{});
  }
}

void replica::on(const message &Message, const bootstrap_probe & /*Body*/,
                 base::instant /*Now*/) {
  send(Message.From, bootstrap_reply{.ProberStorageId = Message.StorageId});
}

void replica::on(const message &Message, const bootstrap_reply &Body,
                 base::instant Now) {
  // Ignore replies to probes sent before this instance lost its disk: they may
  // be out of date.
  if (!HardState.ClusterId.empty() ||
      Body.ProberStorageId != HardState.StorageId)
    return;
  // A cluster exists already; its leader will contact this instance.
  if (!Message.ClusterId.empty()) {
    Options.Bootstrap = false;
    return;
  }
  const auto &Initial = Options.InitialVoters;
  if (std::find(Initial.begin(), Initial.end(), Message.From) != Initial.end())
    EmptyInitialVoters.insert(Message.From);
  probeInitialVoters(Now);
}

void replica::formCluster(base::instant Now) {
  HardState.ClusterId = generateId();
  HardStateDirty = true;
  configuration Members{.Voters = {{Options.Id, HardState.StorageId}},
                        .Formed = Options.InitialVoters.size() == 1};
  HardState.Term = 1;
  appendEntry(entry_kind::Configuration, encode(Members));
  startElection(false, Now);
}

} // namespace fulmar::consensus
