// Decodes the published items for an entry. A change costs the items that it
// changes, not all of them: targets come and go one by one, hundreds of them
// when a deployment starts.

#ifndef FULMAR_GATEWAY_VIEWDECODER_H
#define FULMAR_GATEWAY_VIEWDECODER_H

#include "fulmar/fleet/routingplan.h"
#include "fulmar/fleet/targetreport.h"
#include "fulmar/publication/publisheditems.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmar::gateway {

/// The published items, decoded.
struct fleet_view {
  publication::serial Serial = 0;
  /// Null until a plan is known.
  std::shared_ptr<const fleet::routing_plan> Plan;
  /// Targets that take new work: serving, and in a data centre that is in.
  std::vector<fleet::target_report> Targets;
  std::set<std::string> DataCentresOut;
  /// Ids of all entries.
  std::vector<std::string> Entries;
  /// Fingerprints of requests that crash targets.
  std::set<std::string> Quarantined;
};

class view_decoder {
public:
  /// The view of \p Items. The plan never goes back from one call to the next.
  fleet_view decode(const publication::published_items &Items);

  /// Targets and plans that were decoded so far.
  [[nodiscard]] std::size_t decoded() const { return Decoded; }

private:
  struct decoded_target {
    publication::serial Serial = 0;
    /// Empty when the item is malformed.
    std::optional<fleet::target_report> Report;
  };

  void decodePlan(const publication::published_items &Items);
  const decoded_target &target(const publication::item &Item);

  publication::serial PlanSerial = 0;
  std::shared_ptr<const fleet::routing_plan> Plan;
  /// By key; those of items that are gone are dropped at the next decode().
  std::map<std::string, decoded_target> Targets;
  std::size_t Decoded = 0;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_VIEWDECODER_H
