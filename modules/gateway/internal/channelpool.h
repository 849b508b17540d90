// The kept connections to all targets.

#ifndef FULMAR_GATEWAY_INTERNAL_CHANNELPOOL_H
#define FULMAR_GATEWAY_INTERNAL_CHANNELPOOL_H

#include "fulmar/fleet/targetreport.h"
#include "fulmar/telemetry/metrics.h"
#include "internal/targetchannel.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmar::gateway {

using channel_ptr = std::shared_ptr<target_channel>;

class channel_pool {
public:
  /// \p Watching sees each answer of a target.
  channel_pool(eventloop::loop &OwningLoop, const dialect &Names,
               telemetry::metrics &Registry, std::shared_ptr<held_bytes> Memory,
               target_channel::observer Watching);

  /// An idle connection to this run of the target, or a new one; null for an
  /// address that can't be read.
  channel_ptr acquire(const fleet::target_report &Target);
  /// A channel that is not connected yet, whatever is kept.
  channel_ptr open(const fleet::target_report &Target);
  /// Keeps the connection for another call if it is fit for one.
  void release(const channel_ptr &Channel);
  /// Closes what has been idle for too long, but for one connection to each
  /// target: that is returned, to be refreshed by a call.
  std::vector<channel_ptr> sweep();
  /// Closes the idle connections of all other targets.
  void keepOnly(const std::set<std::string> &Keys);

  /// Names one run of a target at its address.
  static std::string keyOf(const fleet::target_report &Target);
  /// The target's id in what keyOf() returned.
  static std::string targetIn(const std::string &Key) {
    return Key.substr(0, Key.find('/'));
  }

private:
  eventloop::loop &Loop;
  const dialect &Dialect;
  telemetry::counter &Opened;
  std::shared_ptr<held_bytes> Held;
  target_channel::observer Watcher;
  /// The most recently used last.
  std::map<std::string, std::vector<channel_ptr>> Idle;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_CHANNELPOOL_H
