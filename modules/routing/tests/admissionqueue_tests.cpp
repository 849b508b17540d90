// Tests of the admission queue, including a comparison with a reference
// implementation: order, limits, and exactly one result per waiter.

#include "fulmar/routing/admissionqueue.h"
#include "fulmar/testing/property.h"

#include <algorithm>
#include <set>
#include <tuple>

using namespace fulmar;
using namespace fulmar::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const queue_limits Limits = {.Length = 4, .Age = milliseconds(100)};

waiter waiterOf(ticket_id Ticket, std::uint8_t Priority, base::instant Deadline,
                base::instant Now) {
  return {.Ticket = Ticket,
          .Request = {.Deadline = Deadline, .Priority = Priority},
          .Enqueued = Now};
}

auto orderOf(const waiter &Waiter) {
  return std::tuple(Waiter.Request.Priority, Waiter.Request.Deadline,
                    Waiter.Ticket);
}

bool acceptAll(const waiter & /*Waiter*/) { return true; }

/// Reference implementation that searches a vector.
class reference_queue {
public:
  std::vector<waiter> Waiters;

  waiter takeBest() {
    const auto Best = std::min_element(Waiters.begin(), Waiters.end(),
                                       [](const waiter &A, const waiter &B) {
                                         return orderOf(A) < orderOf(B);
                                       });
    return take(Best);
  }
  waiter takeWorst() {
    const auto Worst = std::max_element(Waiters.begin(), Waiters.end(),
                                        [](const waiter &A, const waiter &B) {
                                          return orderOf(A) < orderOf(B);
                                        });
    return take(Worst);
  }
  std::set<ticket_id> expire(base::instant Now) {
    std::set<ticket_id> Gone;
    for (const waiter &Waiter : Waiters)
      if (Now >= Waiter.Request.Deadline || Now >= Waiter.Enqueued + Limits.Age)
        Gone.insert(Waiter.Ticket);
    std::erase_if(Waiters, [&Gone](const waiter &Waiter) {
      return Gone.contains(Waiter.Ticket);
    });
    return Gone;
  }

private:
  waiter take(std::vector<waiter>::iterator Place) {
    waiter Taken = *Place;
    Waiters.erase(Place);
    return Taken;
  }
};

std::set<ticket_id> ticketsOf(const std::vector<refused_waiter> &Refused) {
  std::set<ticket_id> Tickets;
  for (const refused_waiter &Entry : Refused)
    Tickets.insert(Entry.Waiter.Ticket);
  return Tickets;
}

} // namespace

TEST_GROUP(AdmissionQueue){};

TEST(AdmissionQueue, matchesReferenceList) {
  fulmar::testing::checkProperty("queue equals list", [] {
    admission_queue Queue;
    reference_queue Reference;
    base::instant Now(seconds(1));
    ticket_id Ticket = 0;
    const auto Steps =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3),
                           rc::gen::inRange(1, 200)));
    for (const auto &[Event, Priority, Millis] : Steps) {
      Now += milliseconds(Millis / 4);
      if (Event < 4) {
        const waiter Arrived =
            waiterOf(++Ticket, static_cast<std::uint8_t>(Priority),
                     Now + milliseconds(Millis), Now);
        std::set<ticket_id> Expected;
        Reference.Waiters.push_back(Arrived);
        if (Reference.Waiters.size() > Limits.Length)
          Expected.insert(Reference.takeWorst().Ticket);
        RC_ASSERT(ticketsOf(Queue.add(Arrived, Limits, Now)) == Expected);
      } else if (Event == 4) {
        const auto Taken = Queue.takeFirst(acceptAll);
        RC_ASSERT(Taken.has_value() == !Reference.Waiters.empty());
        if (Taken)
          RC_ASSERT(Taken->Ticket == Reference.takeBest().Ticket);
      } else {
        RC_ASSERT(ticketsOf(Queue.expire(Limits, Now)) ==
                  Reference.expire(Now));
      }
      RC_ASSERT(Queue.size() == Reference.Waiters.size());
      RC_ASSERT(Queue.size() <= Limits.Length);
    }
  });
}

TEST(AdmissionQueue, rejectsRequestThatWouldMissItsDeadline) {
  admission_queue Queue;
  const base::instant Now(seconds(1));
  const auto Refused = Queue.add(waiterOf(1, 0, Now + milliseconds(10), Now),
                                 Limits, Now + milliseconds(10));
  CHECK(Refused.size() == 1);
  CHECK(Refused.front().Reason == base::error_kind::DeadlinePassed);
  CHECK(Queue.empty());
}

TEST(AdmissionQueue, fullQueueRejectsLeastImportant) {
  admission_queue Queue;
  const base::instant Now(seconds(1));
  for (ticket_id Ticket = 1; Ticket <= 4; ++Ticket)
    Queue.add(waiterOf(Ticket, 5, Now + seconds(Ticket), Now), Limits, Now);
  const auto Refused =
      Queue.add(waiterOf(5, 0, Now + seconds(9), Now), Limits, Now);
  CHECK(ticketsOf(Refused) == std::set<ticket_id>({4}));
  CHECK(Refused.front().Reason == base::error_kind::Saturated);
  CHECK(Queue.takeFirst(acceptAll)->Ticket == 5);
  CHECK(Queue.remove(1));
  CHECK(!Queue.remove(1));
}
