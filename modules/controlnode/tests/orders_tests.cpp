// Orders on data centres: copies that were left behind never take effect after
// an order that was acknowledged since.

#include "fulmar/base/random.h"
#include "fulmar/controlnode/orderdecision.h"
#include "fulmar/testing/property.h"
#include "tests/testcluster.h"

#include <absl/random/distributions.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

using namespace fulmar;
using namespace fulmar::controlnode;
using controlstate::data_centre_action;

namespace {

/// A copy of an order at an instance, numbered, that reaches the leader later
/// or more than once.
struct held_copy {
  int Order = 0;
  int Copy = 0;
  controlstate::data_centre_command Command;
};

/// One operator, three instances that lag behind the log by turns, and copies
/// that are held for any time. No instance knows that a copy was left behind
/// except by the check that its caller is connected.
class order_model {
public:
  explicit order_model(std::uint64_t Seed) : Random(Seed) { begin(); }

  void step() {
    switch (absl::Uniform(Random, 0, 6)) {
    case 0:
      return catchUp(Views[pick(Views.size())], pick(3));
    case 1:
      ++Copy; // The operator sends the order again, to another instance.
      Reader = pick(Views.size());
      return;
    case 2:
    case 3:
      return readCopy();
    default:
      return deliverOne();
    }
  }

  [[nodiscard]] bool holds() const {
    const bool In = Log.dataCentres().stateOf("pos").InService;
    return In == isIn(Acknowledged) || In == isIn(Action);
  }
  [[nodiscard]] int acknowledged() const { return Order - 1; }

private:
  struct view {
    controlstate::control_state State;
    std::size_t Applied = 0;
  };

  static bool isIn(data_centre_action Action) {
    return Action == data_centre_action::Return;
  }
  std::size_t pick(std::size_t End) {
    return absl::Uniform(Random, std::size_t(0), End);
  }

  void begin() {
    ++Order;
    Copy = 1;
    Reader = pick(Views.size());
    Action =
        pick(2) == 0 ? data_centre_action::Leave : data_centre_action::Return;
  }

  void catchUp(view &View, std::size_t Count) {
    for (; Count > 0 && View.Applied < Commands.size(); --Count) {
      View.State.applyCommand(View.Applied + 1, Commands[View.Applied]);
      ++View.Applied;
    }
  }

  /// The instance numbers the copy and then checks its caller.
  void readCopy() {
    const std::uint64_t Number =
        Views[Reader].State.dataCentres().operationsOf("pos");
    Held.push_back(
        {.Order = Order,
         .Copy = Copy,
         .Command = {.OperationId =
                         controlstate::numberedOperationId("pos", Number),
                     .Name = "pos",
                     .Action = Action,
                     .Author = "operator",
                     .Proof = {.Administrator = true}}});
  }

  void deliverOne() {
    if (Held.empty())
      return;
    const auto Picked =
        Held.begin() + static_cast<std::ptrdiff_t>(pick(Held.size()));
    const held_copy Delivered = *Picked;
    // A call may be sent more than once.
    if (pick(4) != 0)
      Held.erase(Picked);
    Commands.push_back({.WallMs = 1, .Body = Delivered.Command});
    const controlstate::reply Reply =
        Log.applyCommand(Commands.size(), Commands.back());
    const auto *Refused = std::get_if<controlstate::error_reply>(&Reply);
    const order_step Step = stepAfter(
        Refused != nullptr ? base::result<controlstate::reply>(Refused->Error)
                           : base::result<controlstate::reply>(Reply));
    if (Step != order_step::Acknowledge || Delivered.Order != Order ||
        Delivered.Copy != Copy)
      return;
    Acknowledged = Action;
    begin();
  }

  base::random_source Random;
  controlstate::control_state Log;
  std::vector<controlstate::command> Commands;
  std::vector<view> Views{3};
  std::deque<held_copy> Held;
  std::size_t Reader = 0;
  int Order = 0;
  int Copy = 0;
  data_centre_action Action = data_centre_action::Return;
  data_centre_action Acknowledged = data_centre_action::Return;
};

} // namespace

TEST_GROUP(Orders) {
  test_cluster Cluster;

  void formCluster() {
    for (int Number = 0; Number < 3; ++Number)
      Cluster.start(Number);
    CHECK_TRUE(Cluster.put(0, 1));
  }

  std::optional<bool> operate(
      int Number, data_centre_action Action,
      std::function<bool()> Connected = [] { return true; }) {
    std::optional<bool> Succeeded;
    Cluster.node(Number).operate({.Name = "pos",
                                  .Action = Action,
                                  .Author = "operator",
                                  .CallerConnected = std::move(Connected)},
                                 CallLimit, [&Succeeded](const auto &Reply) {
                                   Succeeded = Reply.has_value();
                                 });
    Cluster.runUntil([&Succeeded] { return Succeeded.has_value(); });
    return Succeeded;
  }

  int leader() {
    for (int Number = 0; Number < 3; ++Number) {
      if (Cluster.node(Number).status().Role == consensus::role::Leader)
        return Number;
    }
    return 0;
  }
  bool isIn() {
    return Cluster.node(leader())
        .state()
        .dataCentres()
        .stateOf("pos")
        .InService;
  }
};

// Guards against a held copy of an order, in either direction, that takes
// effect after a later order was acknowledged.
TEST(Orders, noCopyTakesEffectAfterALaterOrderWasAcknowledged) {
  int Acknowledged = 0;
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    order_model Model(Seed);
    for (int Step = 0; Step < 400; ++Step) {
      Model.step();
      CHECK_TEXT(Model.holds(), ("seed " + std::to_string(Seed)).c_str());
    }
    Acknowledged += Model.acknowledged();
  }
  CHECK_TRUE(Acknowledged > 300);
}

TEST(Orders, ordersInQuickSuccessionThroughAllInstancesTakeEffect) {
  formCluster();
  for (int Round = 0; Round < 30; ++Round) {
    const bool Leaves = Round % 2 == 0;
    CHECK_TRUE(operate(Round % 3, Leaves ? data_centre_action::Leave
                                         : data_centre_action::Return) == true);
    CHECK_TRUE(isIn() == !Leaves);
    // The same order again, elsewhere.
    if (Round % 5 == 0)
      CHECK_TRUE(operate((Round + 1) % 3,
                         Leaves ? data_centre_action::Leave
                                : data_centre_action::Return) == true);
    CHECK_TRUE(isIn() == !Leaves);
  }
}

TEST(Orders, anOrderWhoseCallerLeftIsDropped) {
  formCluster();
  CHECK_TRUE(operate(0, data_centre_action::Leave) == true);
  for (int Number = 0; Number < 3; ++Number)
    CHECK_TRUE(operate(Number, data_centre_action::Return,
                       [] { return false; }) == false);
  CHECK_FALSE(isIn());
}

// An instance of an earlier version gives its orders ids of their own, which
// use up no number: the leader has to notice that a number is too low.
TEST(Orders, theLeaderRefusesAnOrderNumberedBeforeOneWithAnIdOfItsOwn) {
  formCluster();
  const auto Propose = [this](const std::string &Id,
                              data_centre_action Action) {
    std::optional<bool> Succeeded;
    Cluster.node(leader()).propose(
        controlstate::data_centre_command{.OperationId = Id,
                                          .Name = "pos",
                                          .Action = Action,
                                          .Author = "operator",
                                          .Proof = {.Administrator = true}},
        CallLimit,
        [&Succeeded](const auto &Reply) { Succeeded = Reply.has_value(); });
    Cluster.runUntil([&Succeeded] { return Succeeded.has_value(); });
    return Succeeded;
  };
  CHECK_TRUE(Propose("123-456", data_centre_action::Leave) == true);
  CHECK_TRUE(Propose("pos#0", data_centre_action::Return) == false);
  CHECK_FALSE(isIn());
  CHECK_TRUE(Propose("pos#1", data_centre_action::Return) == true);
  CHECK_TRUE(isIn());
}

// Guards against an order that a frozen instance of an earlier version held:
// its id does not tell that it is old, its silence before does.
TEST(Orders, theLeaderTakesNoUnnumberedOrderFromAnInstanceThatStoodStill) {
  formCluster();
  const std::string Earlier = test_cluster::address(7);
  eventloop::frame_dialer Dialer(
      Cluster.loop(), {.Address = test_cluster::address(leader())}, {});
  CHECK_TRUE(Cluster.runUntil([&Dialer] { return Dialer.connected(); }));
  const auto Send = [&](const std::string &Id, data_centre_action Action) {
    Dialer.send(fleetlink::encodeLinkMessage(
        fleetlink::call_request{.From = Earlier,
                                .Id = 1,
                                .Call = fleetlink::leader_call::Propose,
                                .Command = controlstate::encodeCommand(
                                    {.WallMs = 1,
                                     .Body = controlstate::data_centre_command{
                                         .OperationId = Id,
                                         .Name = "pos",
                                         .Action = Action,
                                         .Author = "operator",
                                         .Proof = {.Administrator = true}}})}));
  };
  Send("123-1", data_centre_action::Leave);
  CHECK_TRUE(Cluster.runUntil([this] { return !isIn(); }));
  CHECK_FALSE(Cluster.runUntil([] { return false; },
                               base::stall_monitor::Threshold * 2));
  Send("123-2", data_centre_action::Return);
  CHECK_FALSE(Cluster.runUntil([this] { return isIn(); },
                               std::chrono::milliseconds(300)));
}

TEST(Orders, aReplyToAnEarlierOperationIsNoAcknowledgement) {
  using controlstate::data_centre_reply;
  CHECK_TRUE(stepAfter(controlstate::reply(data_centre_reply{})) ==
             order_step::Acknowledge);
  CHECK_TRUE(stepAfter(controlstate::reply(data_centre_reply{
                 .Repeated = true})) == order_step::NumberAgain);
  CHECK_TRUE(stepAfter(base::error{base::error_kind::Conflict, ""}) ==
             order_step::NumberAgain);
  for (const auto Kind :
       {base::error_kind::NoQuorum, base::error_kind::BadRequest})
    CHECK_TRUE(stepAfter(base::error{Kind, ""}) == order_step::Fail);
}
