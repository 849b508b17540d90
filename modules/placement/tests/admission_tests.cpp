// Tests of single admission decisions, and a simulated overload that compares
// admission control with the earlier strategy of queueing at the targets.

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

constexpr admission_request Fresh{.UnloadedTime = milliseconds(220),
                                  .TimeToObjective = milliseconds(600),
                                  .TimeToDeadline = milliseconds(2'000)};

admission_candidate candidate(std::uint32_t Running, double Slowdown = 1) {
  return {.Load = {.Running = Running, .Slots = 2, .Slowdown = Slowdown}};
}

} // namespace

TEST_GROUP(Admission){};

TEST(Admission, aFreeSlotIsUsed) {
  CHECK_TRUE(decideAdmission(candidate(0), Fresh) == admission_decision::Send);
}

TEST(Admission, aRequestWaitsWhileItCanBeOnTime) {
  CHECK_TRUE(decideAdmission(candidate(2), Fresh) == admission_decision::Wait);
  CHECK_TRUE(decideAdmission(std::nullopt, Fresh) == admission_decision::Wait);
  admission_request Late = Fresh;
  Late.TimeToObjective = milliseconds(200);
  CHECK_TRUE(decideAdmission(candidate(2), Late) == admission_decision::Refuse);
  CHECK_TRUE(decideAdmission(std::nullopt, Late) == admission_decision::Refuse);
}

TEST(Admission, lateRequestsTakeNoSlotThatOthersNeed) {
  admission_request Late = Fresh;
  Late.TimeToObjective = milliseconds(-100);
  CHECK_TRUE(decideAdmission(candidate(0), Late) == admission_decision::Send);
  CHECK_TRUE(decideAdmission(candidate(1), Late) == admission_decision::Refuse);
}

TEST(Admission, nothingIsSentThatWouldTimeOut) {
  admission_request Short = Fresh;
  Short.TimeToDeadline = milliseconds(100);
  Short.TimeToObjective = milliseconds(100);
  CHECK_TRUE(decideAdmission(candidate(0), Short) ==
             admission_decision::Refuse);
}

TEST(Admission, anAssumedTimeFitsIntoObjectiveAndTimeout) {
  CHECK_TRUE(assumedUnloadedTime(milliseconds(600), milliseconds(3'000)) ==
             milliseconds(200));
  CHECK_TRUE(assumedUnloadedTime(milliseconds(2'000), milliseconds(300)) ==
             milliseconds(100));
}

TEST(Admission, retryAfterIsSpreadAndLeavesTimeToSucceed) {
  const base::duration First = retryAfter(Fresh, 0);
  const base::duration Last = retryAfter(Fresh, 0.99);
  CHECK_TRUE(First < Last);
  CHECK_TRUE(Last + Fresh.UnloadedTime <= Fresh.TimeToObjective);
  admission_request Late = Fresh;
  Late.TimeToObjective = milliseconds(0);
  CHECK_TRUE(retryAfter(Late, 0) >= milliseconds(300));
  CHECK_TRUE(retryAfter(Late, 0.99) <= Late.TimeToDeadline / 3);
}

// Targets refuse a fraction of all requests at random although they have free
// slots. A caller that retries at once is still on time.
TEST(Admission, callersRefusedDespiteFreeSlotsRetrySoon) {
  const base::duration Last = retryAfterRefusal(Fresh, 0.99);
  CHECK_TRUE(Last <= Fresh.UnloadedTime / 2);
  CHECK_TRUE(retryAfterRefusal(Fresh, 0) < Last);
  admission_request Late = Fresh;
  Late.TimeToObjective = milliseconds(0);
  CHECK_TRUE(retryAfterRefusal(Late, 0.99) <= Late.TimeToDeadline / 3);
}

TEST(Admission, retriesAreSpreadAfterAServiceReopens) {
  const base::duration Closed = milliseconds(700);
  CHECK_TRUE(retryAfterClosure(Closed, Fresh, 0) >= Closed);
  CHECK_TRUE(retryAfterClosure(Closed, Fresh, 0.99) >
             Closed + milliseconds(600));
  CHECK_TRUE(retryAfterClosure({}, Fresh, 0.5) == retryAfter(Fresh, 0.5));
}

TEST_GROUP(OverloadReplay){};

namespace {

/// Simulated target with two slots, where a second request slows both down.
struct model_target {
  struct run {
    std::int64_t Arrived = 0;
    double LeftMs = 0;
  };
  std::vector<run> Running;
  std::deque<run> Queue;

  [[nodiscard]] admission_candidate candidate() const {
    return {.Load = {.Running = static_cast<std::uint32_t>(Running.size()),
                     .Waiting = static_cast<std::uint32_t>(Queue.size()),
                     .Slots = 2}};
  }
  /// Advances by one millisecond; returns the arrival times of the requests
  /// that completed.
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

/// Simulates six seconds at twice the capacity of seven targets, then six
/// seconds at a quarter of it.
replay_result replay(bool WaitsAtEntry,
                     base::duration UnloadedTime = milliseconds(220)) {
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
      model_target &Best = *std::min_element(
          Targets.begin(), Targets.end(),
          [](const auto &Left, const auto &Right) {
            return expectedTimeFactor(Left.candidate().Load, 0) <
                   expectedTimeFactor(Right.candidate().Load, 0);
          });
      const admission_request Request{
          .UnloadedTime = UnloadedTime,
          .TimeToObjective = milliseconds(Arrived + ObjectiveMs - Now),
          .TimeToDeadline = milliseconds(Arrived + 4'000 - Now)};
      // The earlier strategy sends to the best target unless it is full and as
      // many requests are queued there.
      const bool Full = outstandingRequests(Best.candidate().Load, 0) >= 4;
      const admission_decision Decision =
          WaitsAtEntry
              ? decideAdmission(Best.candidate(), Request)
              : (Full ? admission_decision::Refuse : admission_decision::Send);
      if (Decision == admission_decision::Send)
        Best.Queue.push_back({.Arrived = Arrived, .LeftMs = WorkMs});
      else if (Decision == admission_decision::Wait)
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
      replay(true, assumedUnloadedTime(milliseconds(ObjectiveMs),
                                       milliseconds(4'000)));
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

TEST(RecentTimes, smallTimeoutDifferencesGiveNoAge) {
  route_times Times;
  for (int Number = 0; Number < 10; ++Number)
    Times.CallerTimeout.record(milliseconds(1'000));
  CHECK_EQUAL(0, estimatedAge(milliseconds(900), Times).count());
  CHECK_TRUE(estimatedAge(milliseconds(300), Times) == milliseconds(500));
}

TEST(RecentTimes, expectedDelaysAreRemoved) {
  CHECK_TRUE(normalised(milliseconds(400), 2) == milliseconds(200));
  CHECK_TRUE(normalised(milliseconds(400), 0.5) == milliseconds(400));
}
