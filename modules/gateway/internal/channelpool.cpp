// Keeps idle channels by target.

#include "internal/channelpool.h"

#include <algorithm>

namespace fulmar::gateway {

namespace {

/// Above the interval between two sweeps.
constexpr base::duration RefreshMargin = std::chrono::milliseconds(600);

} // namespace

channel_pool::channel_pool(eventloop::loop &OwningLoop, const dialect &Names,
                           telemetry::metrics &Registry,
                           std::shared_ptr<held_bytes> Memory,
                           target_channel::observer Watching)
    : Loop(OwningLoop), Dialect(Names),
      Opened(Registry.counterOf("fulmar_target_connections_opened_total")),
      Held(std::move(Memory)), Watcher(std::move(Watching)) {}

std::string channel_pool::keyOf(const fleet::target_report &Target) {
  return Target.Id + "/" + std::to_string(Target.StartedAtMs) + "/" +
         Target.Address;
}

channel_ptr channel_pool::acquire(const fleet::target_report &Target) {
  const std::string Key = keyOf(Target);
  auto &Kept = Idle[Key];
  while (!Kept.empty()) {
    channel_ptr Channel = Kept.back();
    Kept.pop_back();
    const bool Fresh = Loop.now() - Channel->idleSince() < Channel->idleLimit();
    if (Channel->reusable() && Fresh)
      return Channel;
    Channel->close();
  }
  return open(Target);
}

channel_ptr channel_pool::open(const fleet::target_report &Target) {
  const auto Endpoint = eventloop::parseEndpoint(Target.Address);
  if (!Endpoint)
    return nullptr;
  Opened.add();
  return std::make_shared<target_channel>(Loop, keyOf(Target), Endpoint.value(),
                                          Dialect, Held, Watcher);
}

void channel_pool::release(const channel_ptr &Channel) {
  if (!Channel->reusable())
    return Channel->close();
  Idle[Channel->key()].push_back(Channel);
}

std::vector<channel_ptr> channel_pool::sweep() {
  const base::instant Now = Loop.now();
  std::vector<channel_ptr> Stale;
  for (auto &[Key, Kept] : Idle) {
    const auto IsStale = [Now](const channel_ptr &Channel) {
      return Now - Channel->idleSince() + RefreshMargin >= Channel->idleLimit();
    };
    std::erase_if(
        Kept, [](const channel_ptr &Channel) { return !Channel->reusable(); });
    const bool AllStale = std::all_of(Kept.begin(), Kept.end(), IsStale);
    if (AllStale && !Kept.empty()) {
      Stale.push_back(Kept.back());
      Kept.pop_back();
    }
    std::erase_if(Kept, [&IsStale](const channel_ptr &Channel) {
      if (IsStale(Channel))
        Channel->close();
      return IsStale(Channel);
    });
  }
  std::erase_if(Idle, [](const auto &Entry) { return Entry.second.empty(); });
  return Stale;
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
