// Joins a service's section with the policy section that it names.

#include "servicepolicies.h"

namespace fulmar::entry {

service_policies readServicePolicies(const knowledge &Knowledge) {
  const std::string Prefix =
      std::string(publication::SectionPrefix) + "service.";
  service_policies Policies;
  for (const publication::item &Item : Knowledge.items().withPrefix(Prefix)) {
    const std::string Name = Item.Key.substr(Prefix.size());
    const std::string Text = Knowledge.section("service." + Name);
    auto Policy = document::parseServicePolicy(Text);
    if (Policy.has_value() && !Policy.value().Policy.empty())
      Policy = document::parseServicePolicy(
          Text, Knowledge.section("policy." + Policy.value().Policy));
    if (Policy.has_value())
      Policies.emplace(base::service_name(Name), std::move(Policy).value());
  }
  return Policies;
}

} // namespace fulmar::entry
