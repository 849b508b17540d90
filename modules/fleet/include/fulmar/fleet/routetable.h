// Looks up the route of a request: among the routes of its host, the one with
// the longest matching path prefix.

#ifndef FULMAR_FLEET_ROUTETABLE_H
#define FULMAR_FLEET_ROUTETABLE_H

#include "fulmar/fleet/routingplan.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::fleet {

class route_table {
public:
  route_table() = default;
  explicit route_table(std::shared_ptr<const routing_plan> Chosen);

  /// Returns null if no route matches. \p Host may include a port.
  [[nodiscard]] const route *find(std::string_view Host,
                                  std::string_view Path) const;
  [[nodiscard]] const std::shared_ptr<const routing_plan> &plan() const {
    return Plan;
  }

private:
  std::shared_ptr<const routing_plan> Plan;
  /// Routes by host in lower case; the longest path prefixes first.
  std::map<std::string, std::vector<const route *>, std::less<>> ByHost;
};

} // namespace fulmar::fleet

#endif // FULMAR_FLEET_ROUTETABLE_H
