// Decodes the published items into an entry's view of the fleet. Only changed
// items are decoded: targets come and go one by one, hundreds of them when a
// deployment starts.

#ifndef FULMAR_GATEWAY_VIEWDECODER_H
#define FULMAR_GATEWAY_VIEWDECODER_H

#include "fulmar/fleet/account.h"
#include "fulmar/fleet/routingplan.h"
#include "fulmar/fleet/targetreport.h"
#include "fulmar/placement/relayselector.h"
#include "fulmar/publication/publisheditems.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fulmar::gateway {

/// The decoded published items.
struct fleet_view {
  publication::serial Serial = 0;
  /// Null until a plan is known.
  std::shared_ptr<const fleet::routing_plan> Plan;
  /// Targets that accept new requests: in the serving phase, and in a data
  /// centre that is in service.
  std::vector<fleet::target_report> Targets;
  std::set<std::string> DataCentresOut;
  /// Ids of all entries.
  std::vector<std::string> Entries;
  /// Entries that accept requests from other entries.
  /// The same object in each view until it changes; null if there are none.
  std::shared_ptr<const std::vector<placement::relay_peer>> Relays;
  /// Fingerprints of requests that crash targets.
  std::set<std::string> Quarantined;
  /// The same object in each view until it changes; null if none was published.
  std::shared_ptr<const fleet::account_set> Accounts;
};

class view_decoder {
public:
  /// Returns the view of \p Items. The plan's version never decreases from one
  /// call to the next.
  fleet_view decode(const publication::published_items &Items);

  /// Number of targets, routes and plans decoded so far.
  [[nodiscard]] std::size_t decodedCount() const { return Decoded; }

private:
  /// An item's value; empty if the item is malformed.
  template <typename Value> struct decoded_item {
    publication::serial Serial = 0;
    std::optional<Value> Content;
  };
  /// Decoded items by key. Those of removed items are dropped at the next
  /// decode().
  template <typename Value>
  using decoded_items = std::map<std::string, decoded_item<Value>>;

  void decodePlan(const publication::published_items &Items);
  void decodeAccounts(const publication::published_items &Items);
  void decodeRelays(const std::vector<publication::item> &Members);
  /// Decodes the items with \p Prefix that have changed.
  template <typename Value>
  void updateItems(decoded_items<Value> &Cache,
                   const publication::published_items &Items,
                   const char *Prefix,
                   base::result<Value> (*Decode)(std::string_view));

  publication::serial PlanSerial = 0;
  std::shared_ptr<const fleet::routing_plan> Plan;
  decoded_items<fleet::route> Routes;
  decoded_items<fleet::target_report> Targets;
  /// Number of members, and the newest serial of one, when Relays was built.
  std::pair<std::size_t, publication::serial> RelaysBuiltFrom;
  std::shared_ptr<const std::vector<placement::relay_peer>> Relays;
  publication::serial AccountsSerial = 0;
  std::shared_ptr<const fleet::account_set> Accounts;
  std::size_t Decoded = 0;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_VIEWDECODER_H
