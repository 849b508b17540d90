// A queue of typed messages between tasks: any task may post, one task takes.

#ifndef FULMAR_BASE_MAILBOX_H
#define FULMAR_BASE_MAILBOX_H

#include "fulmar/base/time.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace fulmar::base {

/// Thread-safe message queue. A closed mailbox drops new messages.
template <typename Message> class mailbox {
public:
  /// Returns false, and drops the message, once the mailbox is closed.
  bool post(Message Item) {
    {
      const std::lock_guard Lock(Mutex);
      if (Closed)
        return false;
      Items.push_back(std::move(Item));
    }
    Arrived.notify_one();
    return true;
  }

  /// Waits up to \p Wait and returns everything that has arrived.
  std::vector<Message> takeAll(duration Wait) {
    std::unique_lock Lock(Mutex);
    Arrived.wait_for(Lock, Wait, [this] { return Closed || !Items.empty(); });
    std::vector<Message> Taken(std::make_move_iterator(Items.begin()),
                               std::make_move_iterator(Items.end()));
    Items.clear();
    return Taken;
  }

  /// Waits up to \p Wait for one message.
  std::optional<Message> take(duration Wait) {
    std::unique_lock Lock(Mutex);
    Arrived.wait_for(Lock, Wait, [this] { return Closed || !Items.empty(); });
    if (Items.empty())
      return std::nullopt;
    std::optional<Message> Taken(std::move(Items.front()));
    Items.pop_front();
    return Taken;
  }

  /// Refuses further messages and wakes the taker.
  void close() {
    {
      const std::lock_guard Lock(Mutex);
      Closed = true;
    }
    Arrived.notify_all();
  }

  [[nodiscard]] bool closed() const {
    const std::lock_guard Lock(Mutex);
    return Closed;
  }

private:
  mutable std::mutex Mutex;
  std::condition_variable Arrived;
  std::deque<Message> Items;
  bool Closed = false;
};

/// Carries one reply from a task back to the thread that asked.
template <typename Reply> class reply_slot {
public:
  void set(Reply Value) {
    {
      const std::lock_guard Lock(Mutex);
      Slot = std::move(Value);
    }
    Filled.notify_all();
  }

  /// Empty when nothing arrived within \p Wait.
  std::optional<Reply> wait(duration Wait) {
    std::unique_lock Lock(Mutex);
    Filled.wait_for(Lock, Wait, [this] { return Slot.has_value(); });
    return std::exchange(Slot, std::nullopt);
  }

private:
  std::mutex Mutex;
  std::condition_variable Filled;
  std::optional<Reply> Slot;
};

} // namespace fulmar::base

#endif // FULMAR_BASE_MAILBOX_H
