#include "fulmar/placement/relayselector.h"

#include "fulmar/base/rendezvous.h"

#include <algorithm>
#include <utility>

namespace fulmar::placement {

namespace {

/// Number of serving peers among which an entry spreads its requests: enough to
/// survive the loss of one, few enough to keep their connections in use.
constexpr std::size_t PreferredRelays = 3;
/// Back-off after a useless try; doubled by each further one.
constexpr base::duration FirstPause = std::chrono::seconds(1);
constexpr std::uint32_t MaxPauseDoublings = 2;
/// Limit of tries of peers that are not known to serve: a first search through
/// a fleet of which a tenth is left, and a rate that hundreds of searching
/// entries can bear.
constexpr double MaxTrials = 24;
constexpr double TrialsPerSecond = 8;

} // namespace

std::vector<relay_peer> relayOrder(const relay_peer &Self,
                                   std::vector<relay_peer> Peers) {
  std::erase_if(Peers, [&Self](const relay_peer &Peer) {
    return Peer.Id == Self.Id || Peer.Region != Self.Region ||
           Peer.Address.empty();
  });
  std::sort(
      Peers.begin(), Peers.end(),
      [&Self](const relay_peer &Left, const relay_peer &Right) {
        return std::pair(base::rendezvousWeight(Self.Id, Left.Id), Left.Id) >
               std::pair(base::rendezvousWeight(Self.Id, Right.Id), Right.Id);
      });
  const auto Remote = std::stable_partition(
      Peers.begin(), Peers.end(), [&Self](const relay_peer &Peer) {
        return Peer.DataCentre == Self.DataCentre;
      });
  std::vector<relay_peer> Order;
  for (auto Near = Peers.begin(), Far = Remote;
       Near != Remote || Far != Peers.end();) {
    if (Near != Remote)
      Order.push_back(std::move(*Near++));
    if (Far != Peers.end())
      Order.push_back(std::move(*Far++));
  }
  return Order;
}

void relay_selector::setPeers(
    std::shared_ptr<const std::vector<relay_peer>> Order) {
  if (Peers == Order)
    return;
  Peers = std::move(Order);
  std::set<std::string> Ids;
  for (const relay_peer &Peer : *Peers)
    Ids.insert(Peer.Id);
  std::erase_if(
      States, [&Ids](const auto &Entry) { return !Ids.contains(Entry.first); });
}

std::optional<relay_peer>
relay_selector::pick(const std::set<std::string> &Excluded, base::instant Now) {
  if (!Peers)
    return std::nullopt;
  const relay_peer *Best = nullptr;
  const relay_peer *Untried = nullptr;
  const relay_peer *OnTrial = nullptr;
  std::uint32_t BestInFlight = 0;
  std::size_t Serving = 0;
  for (const relay_peer &Peer : *Peers) {
    if (Excluded.contains(Peer.Id))
      continue;
    const auto Found = States.find(Peer.Id);
    const peer_state State =
        Found == States.end() ? peer_state{} : Found->second;
    if (Now < State.BackOffUntil)
      continue;
    if (!State.Serves) {
      const relay_peer *&First = State.InFlight == 0 ? Untried : OnTrial;
      if (First == nullptr)
        First = &Peer;
      continue;
    }
    if (Best == nullptr || State.InFlight < BestInFlight) {
      Best = &Peer;
      BestInFlight = State.InFlight;
    }
    if (++Serving == PreferredRelays)
      break;
  }
  const bool Enough =
      Best != nullptr && (BestInFlight == 0 || Serving == PreferredRelays);
  if (!Enough && Untried != nullptr && takeTrial(Now))
    return *Untried;
  // Requests that arrive during the first tries join one of them.
  if (Best == nullptr)
    Best = OnTrial;
  return Best == nullptr ? std::nullopt : std::optional(*Best);
}

bool relay_selector::takeTrial(base::instant Now) {
  const std::chrono::duration<double> Since =
      TrialsAt ? Now - *TrialsAt : base::duration::max();
  Trials = std::min(MaxTrials, Trials + Since.count() * TrialsPerSecond);
  TrialsAt = Now;
  if (Trials < 1)
    return false;
  Trials -= 1;
  return true;
}

void relay_selector::requestSent(const std::string &Peer) {
  ++States[Peer].InFlight;
}

void relay_selector::requestEnded(const std::string &Peer) {
  const auto Found = States.find(Peer);
  if (Found != States.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

void relay_selector::recordServed(const std::string &Peer) {
  peer_state &State = States[Peer];
  State.Serves = true;
  State.UselessCount = 0;
  State.BackOffUntil = {};
}

void relay_selector::recordUseless(const std::string &Peer, base::instant Now) {
  peer_state &State = States[Peer];
  State.Serves = false;
  const std::uint32_t Doublings =
      std::min(MaxPauseDoublings, State.UselessCount++);
  State.BackOffUntil = Now + FirstPause * (1U << Doublings);
}

} // namespace fulmar::placement
