// Bounds and idle times of kept connections.

#include "fulmar/proxy/connectionpool.h"

#include <algorithm>
#include <utility>

namespace fulmar::proxy {

connection_pool::connection_pool(connection_pool_options Limits)
    : Options(Limits) {}

std::unique_ptr<connection>
connection_pool::take(const std::string &Address,
                      const std::string &Incarnation,
                      base::duration MaxIdleTime) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Targets.find(Address);
  if (Found == Targets.end())
    return nullptr;
  forgetOther(Found->second, Incarnation);
  auto &Connections = Found->second.Connections;
  const base::instant Now = currentInstant();
  while (!Connections.empty()) {
    if (Now - Connections.back().Since >
        std::min(MaxIdleTime, Options.IdleTimeout))
      return nullptr;
    auto Taken = std::move(Connections.back().Connection);
    Connections.pop_back();
    --Idle;
    if (Taken->usable())
      return Taken;
  }
  return nullptr;
}

base::result<std::unique_ptr<connection>>
connection_pool::open(const std::string &Address, base::duration Timeout) {
  auto Connected = connection::open(Address, Timeout);
  if (Connected.has_value())
    ++Opened;
  return Connected;
}

void connection_pool::put(const std::string &Address,
                          const std::string &Incarnation,
                          std::unique_ptr<connection> Returned) {
  if (!Returned->usable())
    return;
  const std::lock_guard Lock(Mutex);
  const base::instant Now = currentInstant();
  constexpr std::chrono::seconds ExpiryInterval(1);
  if (Now - LastExpiry >= ExpiryInterval)
    expireLocked(Now);
  if (Idle >= Options.MaxIdle)
    return;
  idle_target &Target = Targets[Address];
  forgetOther(Target, Incarnation);
  if (Target.Connections.size() >= Options.MaxIdlePerTarget)
    return;
  Target.Connections.push_back({std::move(Returned), Now});
  ++Idle;
}

void connection_pool::expire() {
  const std::lock_guard Lock(Mutex);
  expireLocked(currentInstant());
}

std::size_t connection_pool::idle() const {
  const std::lock_guard Lock(Mutex);
  return Idle;
}

void connection_pool::dropOld(idle_target &Target, base::instant Now) {
  auto &Connections = Target.Connections;
  while (!Connections.empty() &&
         Now - Connections.front().Since > Options.IdleTimeout) {
    Connections.pop_front();
    --Idle;
  }
}

void connection_pool::expireLocked(base::instant Now) {
  LastExpiry = Now;
  for (auto &[Address, Target] : Targets)
    dropOld(Target, Now);
  std::erase_if(Targets, [](const auto &Entry) {
    return Entry.second.Connections.empty();
  });
}

void connection_pool::forgetOther(idle_target &Target,
                                  const std::string &Incarnation) {
  if (Target.Incarnation == Incarnation)
    return;
  Idle -= Target.Connections.size();
  Target.Connections.clear();
  Target.Incarnation = Incarnation;
}

} // namespace fulmar::proxy
