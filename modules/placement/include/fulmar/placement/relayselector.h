// Selects the entry to which an entry that has lost contact to the targets of a
// service passes a request on.
//
// Entries lose contact together, by data centre or at random, up to nearly all
// of a fleet, and nobody tells which ones. An entry therefore tries others, and
// stays with the few that serve. Each entry tries the others in an order of its
// own, so that those with contact share the load. The rate of tries is limited:
// when all entries are cut off, hundreds of them must not ask each other for
// every request.

#ifndef FULMAR_PLACEMENT_RELAYSELECTOR_H
#define FULMAR_PLACEMENT_RELAYSELECTOR_H

#include "fulmar/base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmar::placement {

/// An entry that accepts requests from other entries.
struct relay_peer {
  std::string Id;
  std::string DataCentre;
  /// Requests stay in their region.
  std::string Region;
  /// IP:PORT for other entries.
  std::string Address;

  friend auto operator<=>(const relay_peer &, const relay_peer &) = default;
};

/// The other entries of the region in the order in which \p Self tries them:
/// alternately from its own data centre, which is near, and from the others,
/// because a data centre may be cut off as a whole.
std::vector<relay_peer> relayOrder(const relay_peer &Self,
                                   std::vector<relay_peer> Peers);

class relay_selector {
public:
  /// \p Order was made by relayOrder().
  void setPeers(std::shared_ptr<const std::vector<relay_peer>> Order);

  /// Returns the entry to try next, or nothing if none is worth a try now.
  /// Never returns one of \p Excluded.
  std::optional<relay_peer> pick(const std::set<std::string> &Excluded,
                                 base::instant Now);

  void requestSent(const std::string &Peer);
  void requestEnded(const std::string &Peer);
  /// The peer passed a request on to a target.
  void recordServed(const std::string &Peer);
  /// The peer can't be reached, has no contact itself or accepts no requests:
  /// it is not tried again for a while.
  void recordUseless(const std::string &Peer, base::instant Now);

private:
  struct peer_state {
    std::uint32_t InFlight = 0;
    /// It served the last request that it got.
    bool Serves = false;
    std::uint32_t UselessCount = 0;
    base::instant BackOffUntil{};
  };

  bool takeTrial(base::instant Now);

  std::shared_ptr<const std::vector<relay_peer>> Peers;
  /// Peers that were tried.
  std::map<std::string, peer_state> States;
  /// Tries of peers that are not known to serve: tokens, and their time.
  double Trials = 0;
  std::optional<base::instant> TrialsAt;
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_RELAYSELECTOR_H
