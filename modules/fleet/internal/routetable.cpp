#include "fulmar/fleet/routetable.h"

#include <algorithm>
#include <cctype>

namespace fulmar::fleet {

namespace {

std::string normalisedHost(std::string_view Host) {
  std::string Normalised(Host.substr(0, Host.find(':')));
  std::transform(Normalised.begin(), Normalised.end(), Normalised.begin(),
                 [](unsigned char Letter) {
                   return static_cast<char>(std::tolower(Letter));
                 });
  return Normalised;
}

} // namespace

route_table::route_table(std::shared_ptr<const routing_plan> Chosen)
    : Plan(std::move(Chosen)) {
  for (const route &Route : Plan->Routes)
    ByHost[normalisedHost(Route.Host)].push_back(&Route);
  for (auto &[Host, Routes] : ByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const route *Left, const route *Right) {
                       return Left->PathPrefix.size() >
                              Right->PathPrefix.size();
                     });
}

const route *route_table::find(std::string_view Host,
                               std::string_view Path) const {
  const auto Found = ByHost.find(normalisedHost(Host));
  if (Found == ByHost.end())
    return nullptr;
  for (const route *Route : Found->second) {
    if (Path.starts_with(Route->PathPrefix))
      return Route;
  }
  return nullptr;
}

} // namespace fulmar::fleet
