// Admission: single decisions, and a replay of an overload against the strategy
// before it, which queued requests at the targets.

#include "fulmar/placement/admission.h"
#include "fulmar/placement/recenttimes.h"
#include "fulmar/testing/property.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

using namespace fulmar;
using namespace fulmar::placement;
using std::chrono::milliseconds;

namespace {

constexpr admission_request Fresh{.UsualTime = milliseconds(220),
                                  .ToObjective = milliseconds(600),
                                  .ToEnd = milliseconds(2'000)};

admission_offer offer(std::uint32_t Running, double Slowdown = 1) {
  return {.Load = {.Running = Running, .Slots = 2, .Slowdown = Slowdown}};
}

} // namespace

TEST_GROUP(Admission){};

TEST(Admission, aFreeSlotIsTaken) {
  CHECK_TRUE(decideSend(offer(0), Fresh) == send_decision::Send);
}

TEST(Admission, aRequestWaitsWhileItCanBeOnTime) {
  CHECK_TRUE(decideSend(offer(2), Fresh) == send_decision::Wait);
  CHECK_TRUE(decideSend(std::nullopt, Fresh) == send_decision::Wait);
  admission_request Late = Fresh;
  Late.ToObjective = milliseconds(200);
  CHECK_TRUE(decideSend(offer(2), Late) == send_decision::Refuse);
  CHECK_TRUE(decideSend(std::nullopt, Late) == send_decision::Refuse);
}

TEST(Admission, lateWorkTakesNoSlotThatOthersNeed) {
  admission_request Late = Fresh;
  Late.ToObjective = milliseconds(-100);
  CHECK_TRUE(decideSend(offer(0), Late) == send_decision::Send);
  CHECK_TRUE(decideSend(offer(1), Late) == send_decision::Refuse);
}

TEST(Admission, nothingIsSentThatWouldBeCutOff) {
  admission_request Short = Fresh;
  Short.ToEnd = milliseconds(100);
  Short.ToObjective = milliseconds(100);
  CHECK_TRUE(decideSend(offer(0), Short) == send_decision::Refuse);
}

TEST(Admission, anAssumedTimeFitsIntoObjectiveAndTimeout) {
  CHECK_TRUE(assumedTime(milliseconds(600), milliseconds(3'000)) ==
             milliseconds(200));
  CHECK_TRUE(assumedTime(milliseconds(2'000), milliseconds(300)) ==
             milliseconds(100));
}

TEST(Admission, refusedCallersComeBackApartAndWhileItHelps) {
  const base::duration First = returnAfter(Fresh, 0);
  const base::duration Last = returnAfter(Fresh, 0.99);
  CHECK_TRUE(First < Last);
  CHECK_TRUE(Last + Fresh.UsualTime <= Fresh.ToObjective);
  admission_request Late = Fresh;
  Late.ToObjective = milliseconds(0);
  CHECK_TRUE(returnAfter(Late, 0) >= milliseconds(300));
  CHECK_TRUE(returnAfter(Late, 0.99) <= Late.ToEnd / 3);
}

// Load: targets turn a part of all requests away at random, with slots free.
// A caller that comes back at once is still on time.
TEST(Admission, callersThatWereTurnedAwayBesideFreeSlotsComeBackSoon) {
  const base::duration Last = returnAfterRefusal(Fresh, 0.99);
  CHECK_TRUE(Last <= Fresh.UsualTime / 2);
  CHECK_TRUE(returnAfterRefusal(Fresh, 0) < Last);
  admission_request Late = Fresh;
  Late.ToObjective = milliseconds(0);
  CHECK_TRUE(returnAfterRefusal(Late, 0.99) <= Late.ToEnd / 3);
}

TEST(Admission, callersComeBackSpreadAfterAServiceTakesWorkAgain) {
  const base::duration Closed = milliseconds(700);
  CHECK_TRUE(returnAfterClosure(Closed, Fresh, 0) >= Closed);
  CHECK_TRUE(returnAfterClosure(Closed, Fresh, 0.99) >
             Closed + milliseconds(600));
  CHECK_TRUE(returnAfterClosure({}, Fresh, 0.5) == returnAfter(Fresh, 0.5));
}

TEST_GROUP(OverloadReplay){};

namespace {

/// Targets of two slots; a second request slows both down.
struct model_target {
  struct run {
    std::int64_t Arrived = 0;
    double LeftMs = 0;
  };
  std::vector<run> Running;
  std::deque<run> Queue;

  [[nodiscard]] admission_offer offer() const {
    return {.Load = {.Running = static_cast<std::uint32_t>(Running.size()),
                     .Waiting = static_cast<std::uint32_t>(Queue.size()),
                     .Slots = 2}};
  }
  /// Advances by a millisecond; returns the arrival times of what ended.
  std::vector<std::int64_t> step() {
    std::vector<std::int64_t> Ended;
    const double Speed = Running.size() > 1 ? 1 / 1.7 : 1;
    for (run &Run : Running)
      Run.LeftMs -= Speed;
    std::erase_if(Running, [&Ended](const run &Run) {
      if (Run.LeftMs <= 0)
        Ended.push_back(Run.Arrived);
      return Run.LeftMs <= 0;
    });
    while (Running.size() < 2 && !Queue.empty()) {
      Running.push_back(Queue.front());
      Queue.pop_front();
    }
    return Ended;
  }
};

struct replay_result {
  int OnTime = 0;
  int Late = 0;
  int Refused = 0;
};

constexpr std::int64_t ObjectiveMs = 600;

/// Twice what seven targets bear for six seconds, then a quarter of it.
replay_result replay(bool WaitsAtEntry,
                     base::duration UsualTime = milliseconds(220)) {
  constexpr double WorkMs = 220;
  std::vector<model_target> Targets(7);
  std::deque<std::int64_t> Waiting;
  replay_result Result;
  double Due = 0;
  for (std::int64_t Now = 0; Now < 12'000; ++Now) {
    Due += Now < 6'000 ? 0.072 : 0.009;
    for (; Due >= 1; Due -= 1)
      Waiting.push_back(Now);
    for (model_target &Target : Targets) {
      for (const std::int64_t Arrived : Target.step())
        ++(Now - Arrived <= ObjectiveMs ? Result.OnTime : Result.Late);
    }
    for (std::size_t Count = Waiting.size(); Count > 0; --Count) {
      const std::int64_t Arrived = Waiting.front();
      Waiting.pop_front();
      model_target &Best =
          *std::min_element(Targets.begin(), Targets.end(),
                            [](const auto &Left, const auto &Right) {
                              return expectedTime(Left.offer().Load, 0) <
                                     expectedTime(Right.offer().Load, 0);
                            });
      const admission_request Request{
          .UsualTime = UsualTime,
          .ToObjective = milliseconds(Arrived + ObjectiveMs - Now),
          .ToEnd = milliseconds(Arrived + 4'000 - Now)};
      // Before: sent to the best target unless two rounds wait there.
      const bool Full = busy(Best.offer().Load, 0) >= 4;
      const send_decision Decision =
          WaitsAtEntry ? decideSend(Best.offer(), Request)
                       : (Full ? send_decision::Refuse : send_decision::Send);
      if (Decision == send_decision::Send)
        Best.Queue.push_back({.Arrived = Arrived, .LeftMs = WorkMs});
      else if (Decision == send_decision::Wait)
        Waiting.push_back(Arrived);
      else
        ++Result.Refused;
    }
  }
  return Result;
}

} // namespace

TEST(OverloadReplay, waitingAtTheEntryServesMoreOnTime) {
  const replay_result Before = replay(false);
  const replay_result After = replay(true);
  CHECK_TRUE(After.OnTime >= 2 * Before.OnTime);
  CHECK_TRUE(After.Late < Before.Late);
}

TEST(OverloadReplay, anEntryThatHasJustStartedServesAsMuchOnTime) {
  const replay_result Before = replay(true, {});
  const replay_result After =
      replay(true, assumedTime(milliseconds(ObjectiveMs), milliseconds(4'000)));
  CHECK_TRUE(After.OnTime >= 2 * Before.OnTime);
  CHECK_TRUE(After.Late < Before.Late);
}

TEST_GROUP(RecentTimes){};

TEST(RecentTimes, fewRecordsGiveAnEstimate) {
  recent_times Times(0.4);
  CHECK_EQUAL(0, Times.estimate().count());
  for (const int Ms : {200, 220, 900})
    Times.record(milliseconds(Ms));
  CHECK_TRUE(Times.estimate() == milliseconds(220));
}

TEST(RecentTimes, callersThatDifferALittleHaveNoAge) {
  route_times Times;
  for (int Number = 0; Number < 10; ++Number)
    Times.Told.record(milliseconds(1'000));
  CHECK_EQUAL(0, ageOf(milliseconds(900), Times).count());
  CHECK_TRUE(ageOf(milliseconds(300), Times) == milliseconds(500));
}

TEST(RecentTimes, expectedDelaysAreTakenOut) {
  CHECK_TRUE(normalised(milliseconds(400), 2) == milliseconds(200));
  CHECK_TRUE(normalised(milliseconds(400), 0.5) == milliseconds(400));
}
