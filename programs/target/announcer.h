// Announces a stand-in target to an entry, about every second.

#ifndef FULMAR_TARGET_ANNOUNCER_H
#define FULMAR_TARGET_ANNOUNCER_H

#include "targetstate.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>

namespace fulmar::target {

/// Owns its thread and its connection.
class announcer {
public:
  /// \p Address is where callers reach the target.
  announcer(target_state &Shared, std::string Reachable);
  ~announcer();
  announcer(const announcer &) = delete;
  announcer &operator=(const announcer &) = delete;

  /// Announces without waiting for the next turn.
  void announceNow();

private:
  void run();
  /// Tries each entry once, beginning with the one that answered last.
  void announce();
  bool announceTo(const std::string &Entry, const std::string &Message) const;

  target_state &State;
  const std::string Address;
  std::size_t Current = 0;
  std::mutex Mutex;
  std::condition_variable Woken;
  bool Stopping = false;
  bool Urgent = false;
  // Last: starts when all other members are ready.
  std::thread Thread;
};

} // namespace fulmar::target

#endif // FULMAR_TARGET_ANNOUNCER_H
