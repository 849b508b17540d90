// Implementation of the admission queue.

#include "fulmar/routing/admissionqueue.h"

#include <iterator>
#include <utility>

namespace fulmar::routing {

using base::error_kind;

admission_queue::queue_position
admission_queue::positionOf(const waiter &Waiter) {
  return {.Priority = Waiter.Request.Priority,
          .Deadline = Waiter.Request.Deadline,
          .Ticket = Waiter.Ticket};
}

waiter admission_queue::takeAt(queue_position Taken) {
  auto Node = Waiters.extract(Taken.Ticket);
  Positions.erase(Taken);
  return std::move(Node.mapped());
}

std::vector<refused_waiter> admission_queue::add(waiter Arrived,
                                                 const queue_limits &Limits,
                                                 base::instant ExpectedStart) {
  std::vector<refused_waiter> Refused;
  if (ExpectedStart >= Arrived.Request.Deadline) {
    Refused.push_back({std::move(Arrived), error_kind::DeadlinePassed});
    return Refused;
  }
  const queue_position Position = positionOf(Arrived);
  Positions.insert(Position);
  Waiters.emplace(Position.Ticket, std::move(Arrived));
  while (Waiters.size() > Limits.Length)
    Refused.push_back({takeAt(*Positions.rbegin()), error_kind::Saturated});
  return Refused;
}

std::vector<refused_waiter> admission_queue::expire(const queue_limits &Limits,
                                                    base::instant Now) {
  std::vector<std::pair<queue_position, error_kind>> Expired;
  for (const queue_position &Position : Positions) {
    const waiter &Waiter = Waiters.at(Position.Ticket);
    if (Now >= Position.Deadline)
      Expired.emplace_back(Position, error_kind::DeadlinePassed);
    else if (Now - Waiter.Enqueued >= Limits.Age)
      Expired.emplace_back(Position, error_kind::Saturated);
  }
  std::vector<refused_waiter> Refused;
  Refused.reserve(Expired.size());
  for (const auto &[Position, Reason] : Expired)
    Refused.push_back({takeAt(Position), Reason});
  return Refused;
}

std::optional<waiter>
admission_queue::takeFirst(const std::function<bool(const waiter &)> &Accepts) {
  for (const queue_position &Position : Positions)
    if (Accepts(Waiters.at(Position.Ticket)))
      return takeAt(Position);
  return std::nullopt;
}

bool admission_queue::remove(ticket_id Ticket) {
  const auto Found = Waiters.find(Ticket);
  if (Found == Waiters.end())
    return false;
  Positions.erase(positionOf(Found->second));
  Waiters.erase(Found);
  return true;
}

std::size_t admission_queue::ahead(const request_profile &Request) const {
  const queue_position Position = {.Priority = Request.Priority,
                                   .Deadline = Request.Deadline};
  return static_cast<std::size_t>(
      std::distance(Positions.begin(), Positions.lower_bound(Position)));
}

} // namespace fulmar::routing
