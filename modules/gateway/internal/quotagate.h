// Tokens of accounts' quotas for the requests of one gateway: asks their holder
// in one message for all requests of a turn of the loop, and calls back.

#ifndef FULMAR_GATEWAY_INTERNAL_QUOTAGATE_H
#define FULMAR_GATEWAY_INTERNAL_QUOTAGATE_H

#include "fulmar/allotment/allotmentclient.h"
#include "fulmar/eventloop/loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmar::gateway {

struct gateway_state;

class quota_gate {
public:
  using handler = std::function<void(const allotment::token_answer &)>;

  explicit quota_gate(gateway_state &Owner);

  /// Calls \p Done once, now or later, unless the ticket is forgotten. Returns
  /// the ticket.
  std::uint64_t ask(const std::string &Account, base::instant GivenUpAt,
                    handler Done);
  void forget(std::uint64_t Ticket);
  void giveBack(const std::string &Account, base::instant ExpiresAt);

  void answer(const fleetlink::allotment_reply &Reply);
  void holderChanged();

private:
  void scheduleFlush();
  void flush();
  void tick();
  void run(const std::vector<allotment::token_answer> &Answers);

  gateway_state &State;
  allotment::allotment_client Client;
  struct pending {
    handler Done;
    base::instant AskedAt{};
  };
  /// By ticket.
  std::map<std::uint64_t, pending> Pending;
  std::uint64_t LastTicket = 0;
  bool FlushScheduled = false;
  eventloop::timer Timer;
  /// Expires with this object; checked by functions posted to the loop.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_QUOTAGATE_H
