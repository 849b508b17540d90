// Orders on data centres from callers that choose no ids for them.
//
// Callers send an order again, to another instance, when they get no answer in
// time. A copy that was left behind must not take effect after an order that
// was acknowledged since. The number of an order is taken first and the caller
// is checked afterwards: a caller that is still there sends its next copy
// later, and whatever that copy's instance commits uses up the number.

#include "fulmar/controlnode/controlnode.h"
#include "fulmar/controlnode/orderdecision.h"

#include "fulmar/telemetry/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fulmar::controlnode {

namespace {

void logOrder(const char *Event, const data_centre_order &Order,
              std::uint64_t Number, const std::string &Detail) {
  const bool Leaves = Order.Action == controlstate::data_centre_action::Leave;
  telemetry::logChange(telemetry::log_level::Info, "control", Event,
                       {{"data_centre", Order.Name},
                        {"action", Leaves ? "leave" : "return"},
                        {"number", std::to_string(Number)},
                        {"detail", Detail}});
}

} // namespace

order_step stepAfter(const base::result<controlstate::reply> &Reply) {
  if (!Reply)
    return Reply.error().Kind == base::error_kind::Conflict
               ? order_step::NumberAgain
               : order_step::Fail;
  const auto *Done =
      std::get_if<controlstate::data_centre_reply>(&Reply.value());
  return Done != nullptr && Done->Repeated ? order_step::NumberAgain
                                           : order_step::Acknowledge;
}

void control_node::operate(data_centre_order Order, base::duration Limit,
                           reply_handler Handler) {
  attemptOrder({.Order = std::move(Order),
                .Deadline = Loop.now() + Limit,
                .Handler = std::move(Handler)});
}

void control_node::attemptOrder(pending_order Pending) {
  const data_centre_order &Order = Pending.Order;
  Pending.Number = State.dataCentres().operationsOf(Order.Name);
  if (!Order.CallerConnected()) {
    Metrics.counterOf("fulmar_control_orders_dropped_total").add();
    logOrder("order-dropped", Order, Pending.Number, "the caller has left");
    return Pending.Handler(base::error{
        base::error_kind::NoQuorum,
        Pending.Attempted
            ? "the caller closed its connection; the outcome is unknown"
            : "the caller closed its connection; nothing was changed"});
  }
  Pending.Attempted = true;
  logOrder("order-numbered", Order, Pending.Number, "");
  controlstate::data_centre_command Command{
      .OperationId =
          controlstate::numberedOperationId(Order.Name, Pending.Number),
      .Name = Order.Name,
      .Action = Order.Action,
      .Author = Order.Author,
      .Proof = {.Administrator = true}};
  const base::duration Left = Pending.Deadline - Loop.now();
  propose(std::move(Command), Left,
          [this, Pending = std::move(Pending)](
              const base::result<controlstate::reply> &Reply) {
            onOrderReply(Pending, Reply);
          });
}

bool control_node::refusesOldOrder(const fleetlink::call_request &Request) {
  const auto StallEnd = PeerStalls[Request.From].endedAt();
  const bool AfterStall =
      StallEnd && Loop.now() - *StallEnd < base::stall_monitor::ReadTime;
  if (!AfterStall || !IsLeader ||
      Request.Call != fleetlink::leader_call::Propose ||
      !controlstate::control_state::isUnnumberedOperation(Request.Command))
    return false;
  Metrics.counterOf("fulmar_control_orders_dropped_total").add();
  telemetry::logChange(telemetry::log_level::Warning, "control",
                       "old-order-refused", {{"from", Request.From}});
  // A refusal as the replicated state would give it: the instance passes it on
  // to the caller at once instead of trying again.
  sendTo(Request.From,
         fleetlink::call_reply{
             .Id = Request.Id,
             .Succeeded = true,
             .Reply = controlstate::encodeReply(controlstate::error_reply{
                 {base::error_kind::Conflict,
                  "the instance stood still; the order may be old"}})});
  return true;
}

void control_node::onOrderReply(
    pending_order Pending, const base::result<controlstate::reply> &Reply) {
  if (stepAfter(Reply) != order_step::NumberAgain)
    return Pending.Handler(Reply);
  Metrics.counterOf("fulmar_control_orders_overtaken_total").add();
  logOrder("order-overtaken", Pending.Order, Pending.Number,
           Reply ? "the number was used before" : Reply.error().Message);
  OvertakenOrders.push_back(std::move(Pending));
}

void control_node::resumeOrders() {
  if (OvertakenOrders.empty())
    return;
  // Handlers may add orders.
  std::vector<pending_order> Held = std::exchange(OvertakenOrders, {});
  for (pending_order &Pending : Held) {
    const std::uint64_t Applied =
        State.dataCentres().operationsOf(Pending.Order.Name);
    if (Pending.Deadline <= Loop.now())
      Pending.Handler(
          base::error{base::error_kind::NoQuorum,
                      "this instance did not learn of a later order in time; "
                      "the outcome is unknown"});
    else if (Applied > Pending.Number)
      attemptOrder(std::move(Pending));
    else
      OvertakenOrders.push_back(std::move(Pending));
  }
}

} // namespace fulmar::controlnode
