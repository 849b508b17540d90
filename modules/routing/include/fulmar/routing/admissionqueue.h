// Queue of the requests of one service that wait for a target, ordered by
// priority and then by deadline, and limited in length and waiting time. Every
// waiter leaves the queue exactly once: taken, removed or returned as refused.

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
  /// Adds \p Arrived and returns the waiters that are refused because of it.
  /// \p Arrived itself is refused if \p ExpectedStart is not before its
  /// deadline. If the queue is then too long, its last waiter is refused, which
  /// may be \p Arrived.
  std::vector<refused_waiter> add(waiter Arrived, const queue_limits &Limits,
                                  base::instant ExpectedStart);

  /// Removes the waiters whose deadline has passed or that have waited for
  /// queue_limits::Age.
  std::vector<refused_waiter> expire(const queue_limits &Limits,
                                     base::instant Now);

  /// Removes and returns the first waiter for which \p Accepts returns true.
  std::optional<waiter>
  takeFirst(const std::function<bool(const waiter &)> &Accepts);

  bool remove(ticket_id Ticket);

  /// Number of waiters that are ordered before a request with this priority
  /// and deadline.
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

  /// Holds the same tickets as Waiters.
  std::set<queue_position> Positions;
  std::unordered_map<ticket_id, waiter> Waiters;
};

} // namespace fulmar::routing

#endif // FULMAR_ROUTING_ADMISSIONQUEUE_H
