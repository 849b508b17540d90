// Departures of targets whose reports arrive late, twice, in any order, or not
// at all.

#include "fulmar/controlstate/controlstate.h"
#include "fulmar/controlstate/targetdeparture.h"
#include "fulmar/testing/property.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

using namespace fulmar;
using namespace fulmar::controlstate;
using fleet::target_phase;
using fleet::target_report;

namespace {

const std::vector<std::string> Ids = {"a", "b", "c"};
const std::vector<std::string> Addresses = {"10.0.0.1:80", "10.0.0.2:80"};
constexpr int Runs = 3;

struct message {
  target_report Report;
  bool IsDeparture = false;
};

/// Start time of the run \p Number of an id; all runs start at different times.
std::int64_t startOf(std::size_t Id, int Number) {
  return 100 * Number + static_cast<std::int64_t>(Id) + 1;
}

/// Reports and departures as the runs send them, some of them twice.
std::vector<message> drawMessages() {
  std::vector<message> Sent;
  for (std::size_t Id = 0; Id < Ids.size(); ++Id) {
    for (int Run = 1; Run <= Runs; ++Run) {
      const auto Address = *rc::gen::elementOf(Addresses);
      for (std::uint64_t Sequence = 1; Sequence <= 3; ++Sequence)
        Sent.push_back({.Report = {.Id = Ids[Id],
                                   .Service = "s",
                                   .DataCentre = "pos",
                                   .Address = Address,
                                   .Slots = 2,
                                   .StartedAtMs = startOf(Id, Run),
                                   .Sequence = Sequence}});
      if (*rc::gen::arbitrary<bool>())
        Sent.push_back(
            {.Report = {.Id = Ids[Id], .StartedAtMs = startOf(Id, Run)},
             .IsDeparture = true});
    }
  }
  const auto Twice = *rc::gen::container<std::vector<bool>>(
      Sent.size(), rc::gen::arbitrary<bool>());
  for (std::size_t At = 0; At < Twice.size(); ++At) {
    if (Twice[At])
      Sent.push_back(Sent[At]);
  }
  return Sent;
}

/// Moves each message by a random number of places.
std::vector<message> drawArrivals() {
  const std::vector<message> Sent = drawMessages();
  std::vector<std::pair<int, std::size_t>> Order;
  const int Length = static_cast<int>(Sent.size());
  for (std::size_t At = 0; At < Sent.size(); ++At)
    Order.emplace_back(*rc::gen::inRange(0, 2 * Length), At);
  std::sort(Order.begin(), Order.end());
  std::vector<message> Arrived;
  for (const auto &[Place, At] : Order)
    Arrived.push_back(Sent[At]);
  return Arrived;
}

} // namespace

TEST_GROUP(Departures) {
  control_state State;
  consensus::log_index Next = 1;

  void apply(command_body Body) {
    State.applyCommand(Next++, {.WallMs = 1, .Body = std::move(Body)});
  }
  void depart(const std::string &Id, std::int64_t StartedAtMs) {
    apply(departureCommand(State.targets(),
                           {.Id = Id, .StartedAtMs = StartedAtMs}));
  }
  void report(const target_report &Report) {
    apply(target_report_command{Report});
  }
  static target_report reportOf(std::int64_t StartedAtMs,
                                std::uint64_t Sequence) {
    return {.Id = "t",
            .Address = Addresses[0],
            .StartedAtMs = StartedAtMs,
            .Sequence = Sequence};
  }
  static const target_report *servingRun(const control_state &Of,
                                         const std::string &Id) {
    const target_report *Held = Of.targets().find(Id);
    return Held != nullptr && Held->Phase == target_phase::Serving ? Held
                                                                   : nullptr;
  }
};

// Guards against a run that is published again after its departure, whatever
// was known of the target before, and against a later run that is not.
TEST(Departures, holdForAnyOrderOfMessages) {
  testing::checkProperty("departed runs stay away", [] {
    control_state Played;
    consensus::log_index At = 1;
    std::set<std::pair<std::string, std::int64_t>> Departed;
    for (const message &Message : drawArrivals()) {
      const target_report &Report = Message.Report;
      const target_left_command Left{.Id = Report.Id,
                                     .StartedAtMs = Report.StartedAtMs};
      Played.applyCommand(
          At++, {.WallMs = 1,
                 .Body = Message.IsDeparture
                             ? departureCommand(Played.targets(), Left)
                             : command_body(target_report_command{Report})});
      if (Message.IsDeparture)
        Departed.emplace(Report.Id, Report.StartedAtMs);
      if (*rc::gen::inRange(0, 8) == 0) {
        control_state Restored;
        RC_ASSERT(Restored.restore(Played.snapshot()).has_value());
        Played = std::move(Restored);
      }
      for (const std::string &Id : Ids) {
        const auto Value =
            Played.published().value(publication::TargetPrefix + Id);
        if (Value)
          RC_ASSERT(!Departed.contains(
              {Id, fleet::decodeTarget(*Value).value().StartedAtMs}));
      }
    }
    // A start later than all others serves, whatever came before it.
    for (std::size_t Id = 0; Id < Ids.size(); ++Id) {
      Played.applyCommand(
          At++, {.WallMs = 1,
                 .Body = target_report_command{
                     {.Id = Ids[Id],
                      .Address = "10.0.1." + std::to_string(Id) + ":80",
                      .StartedAtMs = startOf(Id, Runs + 1),
                      .Sequence = 1}}});
      RC_ASSERT(servingRun(Played, Ids[Id]) != nullptr);
    }
  });
}

// Guards against a departure that is refused because a later start owns the
// address that its run had.
TEST(Departures, countAfterALaterStartHasTakenOverTheAddress) {
  target_report Other = reportOf(200, 1);
  Other.Id = "other";
  report(Other);
  depart("t", 100);
  apply(target_left_command{.Id = "other"});
  report(reportOf(100, 1));
  CHECK_TRUE(servingRun(State, "t") == nullptr);
}

TEST(Departures, doNotEndTheOwnerOfTheAddressOrALaterRun) {
  report(reportOf(200, 1));
  depart("t", 100);
  depart("other", 300);
  CHECK_TRUE(servingRun(State, "t") != nullptr);
}

// Guards against the departure of a target that has served for long, which is
// dropped at once because many targets that started later have left before.
TEST(Departures, ofALongRunAreKeptUntilItsLeaseEnds) {
  for (const std::int64_t Named : {100, 0}) {
    State = control_state();
    report(reportOf(100, 5));
    for (std::size_t Number = 0; Number < MaxLeftTargets; ++Number)
      depart("gone-" + std::to_string(Number), 1'000);
    depart("t", Named);
    report(reportOf(100, 6));
    CHECK_TRUE(servingRun(State, "t") == nullptr);
    // Sent again, as its acknowledgement was lost.
    depart("t", Named);
    report(reportOf(100, 7));
    CHECK_TRUE(servingRun(State, "t") == nullptr);
    apply(expiryCommand(*State.targets().find("t")));
    CHECK_FALSE(State.published().value("target/t").has_value());
    report(reportOf(200, 1));
    CHECK_TRUE(servingRun(State, "t") != nullptr);
  }
}

TEST(Departures, withoutARunEndTheCurrentOne) {
  report(reportOf(200, 1));
  depart("t", 0);
  CHECK_TRUE(servingRun(State, "t") == nullptr);
}
