// Tests of limits that must hold over all entries although each entry enforces
// only its own share: requests to cold targets, retries and probes.

#include "fulmar/placement/fleetratelimiter.h"
#include "fulmar/placement/probebudget.h"
#include "fulmar/placement/windowedretrybudget.h"
#include "fulmar/testing/property.h"

#include <algorithm>
#include <deque>

using namespace fulmar;
using namespace fulmar::placement;
using std::chrono::milliseconds;

namespace {

base::instant at(std::int64_t Ms) { return base::instant(milliseconds(Ms)); }

std::vector<std::string> names(std::size_t Count) {
  std::vector<std::string> Names;
  for (std::size_t Number = 0; Number < Count; ++Number)
    Names.push_back("entry-" + std::to_string(Number));
  return Names;
}

/// Returns the largest number of events within any window of \p LengthMs.
std::size_t mostWithin(const std::vector<std::int64_t> &Times,
                       std::int64_t LengthMs) {
  std::size_t Most = 0;
  std::deque<std::int64_t> Window;
  for (const std::int64_t Time : Times) {
    Window.push_back(Time);
    while (Window.front() <= Time - LengthMs)
      Window.pop_front();
    Most = std::max(Most, Window.size());
  }
  return Most;
}

} // namespace

TEST_GROUP(ColdLimiter){};

namespace {

/// Lets every entry send as often as its limiter allows, while half of them do
/// not know the last \p Unknown entries. Returns the largest number of requests
/// that the target receives within one second.
std::size_t mostAtColdTarget(std::size_t Entries, std::size_t Unknown,
                             double Rate) {
  const auto All = names(Entries);
  std::vector<fleet_rate_limiter> Limiters;
  for (std::size_t Number = 0; Number < Entries; ++Number) {
    Limiters.emplace_back(All[Number]);
    auto Known = All;
    if (Number % 2 == 1)
      Known.resize(Entries - Unknown);
    Limiters.back().setEntries(Known);
  }
  std::vector<std::int64_t> Sent;
  for (std::int64_t Ms = 0; Ms < 5'000; Ms += 5) {
    for (fleet_rate_limiter &Limiter : Limiters) {
      if (Limiter.take("cold-target", Rate, at(Ms)))
        Sent.push_back(Ms);
    }
  }
  CHECK_FALSE(Sent.empty());
  return mostWithin(Sent, 1'000);
}

} // namespace

TEST(ColdLimiter, allEntriesTogetherStayBelowTheBound) {
  constexpr double Factor = 1.5;
  constexpr double Slack = 5;
  for (const double Rate : {0.5, 1.8, 15.0}) {
    for (const std::size_t Entries : {1U, 3U, 22U, 200U}) {
      const auto Bound = static_cast<std::size_t>(Rate * Factor + Slack);
      CHECK_TRUE(mostAtColdTarget(Entries, 0, Rate) <= Bound);
      if (Entries > 3)
        CHECK_TRUE(mostAtColdTarget(Entries, 3, Rate) <= Bound);
    }
  }
}

TEST(ColdLimiter, anEntryMissingFromTheListSendsNothing) {
  fleet_rate_limiter Limiter("new");
  Limiter.setEntries({"a", "b"});
  CHECK_FALSE(Limiter.allows("t", 15, at(0)));
}

TEST_GROUP(WindowedRetryBudget){};

TEST(WindowedRetryBudget, allEntriesTogetherStayWithinAnyWindow) {
  testing::checkProperty("bursts", [] {
    constexpr std::size_t Entries = 20;
    constexpr windowed_retry_budget_options Options{.Ratio = 0.2, .Slack = 75};
    std::vector<windowed_retry_budget> Budgets(Entries,
                                               windowed_retry_budget(Options));
    for (windowed_retry_budget &Budget : Budgets)
      Budget.setEntries(Entries);
    const auto PerStep = *rc::gen::inRange(1, 8);
    std::vector<std::int64_t> Arrived;
    std::vector<std::int64_t> Retries;
    for (std::int64_t Ms = 0; Ms < 30'000; Ms += 50) {
      // A surge of three times the load.
      const int Now = Ms > 10'000 && Ms < 16'000 ? 3 * PerStep : PerStep;
      for (int Number = 0; Number < Now; ++Number) {
        windowed_retry_budget &Budget =
            Budgets[static_cast<std::size_t>(*rc::gen::inRange(0, 20))];
        Budget.recordRequest(at(Ms));
        Arrived.push_back(Ms);
        // Every request fails and asks for two retries.
        for (int Try = 0; Try < 2; ++Try) {
          if (Budget.take(at(Ms)))
            Retries.push_back(Ms);
        }
      }
    }
    for (std::int64_t End = 10'000; End <= 30'000; End += 500) {
      const auto Within = [End](const std::vector<std::int64_t> &Times) {
        return std::count_if(Times.begin(), Times.end(), [End](auto Time) {
          return Time > End - 10'000 && Time <= End;
        });
      };
      RC_ASSERT(static_cast<double>(Within(Retries)) <=
                0.2 * static_cast<double>(Within(Arrived)) + 75);
    }
  });
}

TEST(WindowedRetryBudget, forgetsRetriesOlderThanTheWindow) {
  windowed_retry_budget Budget({.Ratio = 0, .Slack = 2});
  CHECK_TRUE(Budget.take(at(0)));
  CHECK_FALSE(Budget.take(at(9'000)));
  CHECK_TRUE(Budget.take(at(11'000)));
}

TEST_GROUP(ProbeBudget){};

TEST(WindowedRetryBudget, aWindowWithAFractionIsNotShortened) {
  windowed_retry_budget Budget(
      {.Ratio = 0, .Slack = 2, .Window = milliseconds(2'500)});
  CHECK_TRUE(Budget.take(at(100'000)));
  CHECK_FALSE(Budget.available(at(102'400)));
  CHECK_TRUE(Budget.available(at(104'000)));
}

TEST(ProbeBudget, aSurgeUsesSavedTokens) {
  probe_budget Budget(60);
  Budget.setFleetSize(30, 20);
  CHECK_EQUAL(5U, Budget.take(5, at(20'000)));
  std::size_t Taken = 0;
  for (std::int64_t Ms = 20'000; Ms < 25'000; Ms += 5)
    Taken += Budget.take(5, at(Ms));
  // The saved tokens allow twice the steady rate of 72 per second for five
  // seconds.
  CHECK_TRUE(Taken >= 5U * 2U * 72U);
}

TEST(ProbeBudget, theLongTermRateStaysBelowTheBound) {
  probe_budget Budget(60);
  Budget.setFleetSize(30, 20);
  std::size_t Taken = 0;
  constexpr std::size_t Seconds = 120;
  for (std::int64_t Ms = 0; Ms < std::int64_t(Seconds) * 1'000; ++Ms)
    Taken += Budget.take(5, at(Ms));
  CHECK_TRUE(Taken * 20 <= Seconds * 60 * 30);
}

// Guards against probes above the limit over a whole run of seconds: entries
// that save up tokens, or start with them, exceed it together.
TEST(ProbeBudget, anyLongSpanOfAllEntriesStaysBelowTheLimit) {
  constexpr double Limit = 60;
  constexpr std::size_t Targets = 29;
  constexpr std::size_t Entries = 18;
  constexpr std::int64_t StepMs = 50;
  constexpr std::int64_t IdleMs = 20'000;
  constexpr std::int64_t EndMs = 80'000;
  std::vector<probe_budget> Budgets(Entries, probe_budget(Limit));
  std::vector<std::size_t> PerStep;
  for (std::int64_t Ms = 0; Ms < EndMs; Ms += StepMs) {
    std::size_t Taken = 0;
    for (std::size_t Entry = 0; Entry < Entries; ++Entry) {
      // Each entry restarts every 12 s, at a time of its own.
      const bool Restarts =
          (Ms + static_cast<std::int64_t>(Entry) * 600) % 12'000 == 0;
      if (Restarts)
        Budgets[Entry] = probe_budget(Limit);
      Budgets[Entry].setFleetSize(Targets, Entries);
      Taken += Budgets[Entry].take(Ms < IdleMs ? 0 : 1'000, at(Ms));
    }
    PerStep.push_back(Taken);
  }
  constexpr std::size_t SpanSteps = 28'000 / StepMs;
  for (std::size_t First = 0; First + SpanSteps <= PerStep.size(); ++First) {
    std::size_t Sum = 0;
    for (std::size_t Step = First; Step < First + SpanSteps; ++Step)
      Sum += PerStep[Step];
    CHECK_TRUE(static_cast<double>(Sum) <= Limit * Targets * 28);
  }
}
