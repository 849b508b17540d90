// Keeps idle channels by target.

#include "internal/channelpool.h"

#include <algorithm>

namespace fulmar::gateway {

channel_pool::channel_pool(eventloop::loop &OwningLoop, const dialect &Names,
                           telemetry::metrics &Registry)
    : Loop(OwningLoop), Dialect(Names),
      Opened(Registry.counterOf("fulmar_target_connections_opened_total")) {}

std::string channel_pool::keyOf(const fleet::target_report &Target) {
  return Target.Id + "/" + std::to_string(Target.StartedAtMs) + "/" +
         Target.Address;
}

channel_ptr channel_pool::acquire(const fleet::target_report &Target) {
  const std::string Key = keyOf(Target);
  auto &Held = Idle[Key];
  while (!Held.empty()) {
    const channel_ptr Channel = Held.back();
    Held.pop_back();
    const bool Fresh =
        Loop.now() - Channel->idleSince() < Channel->idleLimit();
    if (Channel->reusable() && Fresh)
      return Channel;
    Channel->close();
  }
  const auto Endpoint = eventloop::parseEndpoint(Target.Address);
  if (!Endpoint)
    return nullptr;
  Opened.add();
  return std::make_shared<target_channel>(Loop, Key, Endpoint.value(), Dialect);
}

void channel_pool::release(const channel_ptr &Channel) {
  if (!Channel->reusable())
    return Channel->close();
  Idle[Channel->key()].push_back(Channel);
}

void channel_pool::sweep() {
  const base::instant Now = Loop.now();
  for (auto Entry = Idle.begin(); Entry != Idle.end();) {
    std::erase_if(Entry->second, [Now](const channel_ptr &Channel) {
      const bool Fit = Channel->reusable() &&
                       Now - Channel->idleSince() < Channel->idleLimit();
      if (!Fit)
        Channel->close();
      return !Fit;
    });
    Entry = Entry->second.empty() ? Idle.erase(Entry) : std::next(Entry);
  }
}

void channel_pool::keepOnly(const std::set<std::string> &Keys) {
  for (auto Entry = Idle.begin(); Entry != Idle.end();) {
    if (Keys.contains(Entry->first)) {
      ++Entry;
      continue;
    }
    for (const channel_ptr &Channel : Entry->second)
      Channel->close();
    Entry = Idle.erase(Entry);
  }
}

} // namespace fulmar::gateway
