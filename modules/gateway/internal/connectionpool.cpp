// Keeps idle connections by target.

#include "internal/connectionpool.h"

#include <algorithm>

namespace fulmar::gateway {

namespace {

/// Must exceed the interval between two calls of closeStale().
constexpr base::duration KeepAliveMargin = std::chrono::milliseconds(600);

} // namespace

connection_pool::connection_pool(
    eventloop::loop &OwningLoop, connection_pool_options Chosen,
    const header_names &Names, telemetry::counter &Opened,
    std::shared_ptr<buffer_budget> Budget,
    target_connection::response_observer ResponseObserver)
    : Loop(OwningLoop), Options(std::move(Chosen)), HeaderNames(Names),
      OpenedCounter(Opened), Buffers(std::move(Budget)),
      Observer(std::move(ResponseObserver)) {}

std::string connection_pool::keyOf(const fleet::target_report &Target) {
  return Target.Id + "/" + std::to_string(Target.StartedAtMs) + "/" +
         Target.Address;
}

connection_ptr connection_pool::acquire(const fleet::target_report &Target) {
  const std::string Key = keyOf(Target);
  auto &Connections = Idle[Key];
  while (!Connections.empty()) {
    connection_ptr Connection = Connections.back();
    Connections.pop_back();
    const bool Fresh = Loop.now() - Connection->idleSince() <
                       std::min(Options.MaxIdle, Connection->idleLimit());
    if (Connection->reusable() && Fresh)
      return Connection;
    Connection->close();
  }
  return open(Target);
}

connection_ptr connection_pool::open(const fleet::target_report &Target) {
  const auto Endpoint = eventloop::parseEndpoint(Target.Address);
  if (!Endpoint)
    return nullptr;
  OpenedCounter.add();
  return std::make_shared<target_connection>(
      Loop, keyOf(Target),
      target_address{.Remote = Endpoint.value(),
                     .Source = Options.SourceAddress},
      HeaderNames, Buffers, Observer);
}

void connection_pool::release(const connection_ptr &Connection) {
  if (!Connection->reusable())
    return Connection->close();
  Idle[Connection->key()].push_back(Connection);
}

std::vector<connection_ptr> connection_pool::closeStale() {
  const base::instant Now = Loop.now();
  std::vector<connection_ptr> Stale;
  for (auto &[Key, Connections] : Idle) {
    const auto IsStale = [Now](const connection_ptr &Connection) {
      return Now - Connection->idleSince() + KeepAliveMargin >=
             Connection->idleLimit();
    };
    std::erase_if(Connections, [](const connection_ptr &Connection) {
      return !Connection->reusable();
    });
    const bool AllStale =
        std::all_of(Connections.begin(), Connections.end(), IsStale);
    if (AllStale && !Connections.empty()) {
      Stale.push_back(Connections.back());
      Connections.pop_back();
    }
    std::erase_if(Connections, [&IsStale](const connection_ptr &Connection) {
      if (IsStale(Connection))
        Connection->close();
      return IsStale(Connection);
    });
  }
  std::erase_if(Idle, [](const auto &Entry) { return Entry.second.empty(); });
  return Stale;
}

void connection_pool::keepOnly(const std::set<std::string> &Keys) {
  for (auto Entry = Idle.begin(); Entry != Idle.end();) {
    if (Keys.contains(Entry->first)) {
      ++Entry;
      continue;
    }
    for (const connection_ptr &Connection : Entry->second)
      Connection->close();
    Entry = Idle.erase(Entry);
  }
}

} // namespace fulmar::gateway
