// Requests of one service that wait for a target, ordered by priority, then
// deadline. Bounded in length and age. Every waiter leaves exactly once: taken,
// removed, or listed as refused.

#ifndef FULMAR_ROUTING_ADMISSIONQUEUE_H
#define FULMAR_ROUTING_ADMISSIONQUEUE_H

#include "fulmar/routing/routingtypes.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace fulmar::routing {

using ticket_id = std::uint64_t;

struct waiter {
  ticket_id Ticket = 0;
  request_profile Request;
  std::vector<attempt> Earlier;
  base::instant Enqueued{};
};

struct refused_waiter {
  waiter Waiter;
  base::error_kind Reason = base::error_kind::Saturated;
};

struct queue_limits {
  std::uint32_t Length = 0;
  base::duration Age{};
};

class admission_queue {
public:
  /// Adds \p Arrived. Refused at once are it, when its deadline comes before
  /// \p ExpectedStart or the queue is full of waiters that go before it, or
  /// else the last waiter of a full queue.
  std::vector<refused_waiter> add(waiter Arrived, const queue_limits &Limits,
                                  base::instant ExpectedStart);

  /// Removes the waiters whose deadline has passed or that are too old.
  std::vector<refused_waiter> expire(const queue_limits &Limits,
                                     base::instant Now);

  /// Takes the first waiter in order that \p Accepts.
  std::optional<waiter>
  takeFirst(const std::function<bool(const waiter &)> &Accepts);

  bool remove(ticket_id Ticket);

  /// Number of waiters that a request of this priority and deadline would
  /// wait for.
  [[nodiscard]] std::size_t ahead(const request_profile &Request) const;
  [[nodiscard]] std::size_t size() const { return Waiters.size(); }
  [[nodiscard]] bool empty() const { return Waiters.empty(); }

private:
  struct queue_position {
    std::uint8_t Priority = 0;
    base::instant Deadline{};
    ticket_id Ticket = 0;

    friend auto operator<=>(const queue_position &,
                            const queue_position &) = default;
  };

  static queue_position positionOf(const waiter &Waiter);
  waiter takeAt(queue_position Taken);

  /// Same tickets as Waiters.
  std::set<queue_position> Positions;
  std::unordered_map<ticket_id, waiter> Waiters;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_ADMISSIONQUEUE_H
