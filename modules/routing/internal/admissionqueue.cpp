// Ordered waiters and their bounds.

#include "fulmar/routing/admissionqueue.h"

#include <iterator>
#include <utility>

namespace fulmar::routing {

using base::error_kind;

admission_queue::order admission_queue::orderOf(const waiter &Waiter) {
  return {.Priority = Waiter.Request.Priority,
          .Deadline = Waiter.Request.Deadline,
          .Ticket = Waiter.Ticket};
}

waiter admission_queue::takeOut(order Taken) {
  auto Node = Waiters.extract(Taken.Ticket);
  Order.erase(Taken);
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
  const order Place = orderOf(Arrived);
  Order.insert(Place);
  Waiters.emplace(Place.Ticket, std::move(Arrived));
  while (Waiters.size() > Limits.Length)
    Refused.push_back({takeOut(*Order.rbegin()), error_kind::Saturated});
  return Refused;
}

std::vector<refused_waiter> admission_queue::expire(const queue_limits &Limits,
                                                    base::instant Now) {
  std::vector<std::pair<order, error_kind>> Expired;
  for (const order &Place : Order) {
    const waiter &Waiter = Waiters.at(Place.Ticket);
    if (Now >= Place.Deadline)
      Expired.emplace_back(Place, error_kind::DeadlinePassed);
    else if (Now - Waiter.Enqueued >= Limits.Age)
      Expired.emplace_back(Place, error_kind::Saturated);
  }
  std::vector<refused_waiter> Refused;
  Refused.reserve(Expired.size());
  for (const auto &[Place, Reason] : Expired)
    Refused.push_back({takeOut(Place), Reason});
  return Refused;
}

std::optional<waiter>
admission_queue::takeFirst(const std::function<bool(const waiter &)> &Accepts) {
  for (const order &Place : Order)
    if (Accepts(Waiters.at(Place.Ticket)))
      return takeOut(Place);
  return std::nullopt;
}

bool admission_queue::remove(ticket_id Ticket) {
  const auto Found = Waiters.find(Ticket);
  if (Found == Waiters.end())
    return false;
  Order.erase(orderOf(Found->second));
  Waiters.erase(Found);
  return true;
}

std::size_t admission_queue::ahead(const request_profile &Request) const {
  const order Place = {.Priority = Request.Priority,
                       .Deadline = Request.Deadline};
  return static_cast<std::size_t>(
      std::distance(Order.begin(), Order.lower_bound(Place)));
}

} // namespace fulmar::routing
