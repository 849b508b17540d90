// Compares the retry decisions with a reference implementation for all short
// attempt histories.

#include "fulmar/routing/retrydecision.h"
#include "fulmar/testing/property.h"

#include <functional>

using namespace fulmar;
using namespace fulmar::routing;
using std::chrono::seconds;

namespace {

constexpr int EndCount = 7;
constexpr std::size_t MaxHistoryLength = 3;

/// Literal implementation of the rule: either no byte was sent to any target,
/// or every target that was reached reported that it did not start the request.
bool referenceNotRun(std::span<const attempt> Attempts) {
  bool NothingHanded = true;
  bool AllReachedRefused = true;
  for (const attempt &Attempt : Attempts) {
    const bool Refused = Attempt.End == attempt_end::Refused;
    const bool SignOfContact = Attempt.End == attempt_end::Answered ||
                               Attempt.End == attempt_end::Truncated;
    const bool Reached = Attempt.BytesSent || SignOfContact || Refused;
    if (Reached)
      NothingHanded = false;
    if (Reached && !Refused)
      AllReachedRefused = false;
  }
  return NothingHanded || AllReachedRefused;
}

void forAllHistories(const std::function<void(std::vector<attempt>)> &Check,
                     std::vector<attempt> History = {}) {
  Check(History);
  if (History.size() == MaxHistoryLength)
    return;
  for (int End = 0; End < EndCount; ++End) {
    for (const bool BytesSent : {false, true}) {
      for (const int Status : {200, 503}) {
        const auto Kind = static_cast<attempt_end>(End);
        if (Kind != attempt_end::Answered && Status != 200)
          continue;
        History.push_back(
            {.BytesSent = BytesSent,
             .End = Kind,
             .Status = Kind == attempt_end::Answered ? Status : 0});
        forAllHistories(Check, History);
        History.pop_back();
      }
    }
  }
}

bool has(std::span<const attempt> Attempts,
         const std::function<bool(const attempt &)> &Matches) {
  for (const attempt &Attempt : Attempts)
    if (Matches(Attempt))
      return true;
  return false;
}

bool referenceMayRetry(const request_profile &Request,
                       std::span<const attempt> Attempts, bool BudgetLeft) {
  if (Attempts.empty())
    return true;
  const bool Ended = has(Attempts, [](const attempt &Attempt) {
    return Attempt.End == attempt_end::Cancelled ||
           (Attempt.End == attempt_end::Answered && Attempt.Status == 200);
  });
  const bool Sent =
      has(Attempts, [](const attempt &Attempt) { return Attempt.BytesSent; });
  const bool OnlyUnconnected = !has(Attempts, [](const attempt &Attempt) {
    return Attempt.BytesSent || (Attempt.End != attempt_end::NotConnected &&
                                 Attempt.End != attempt_end::Broken);
  });
  int Crashes = 0;
  for (const attempt &Attempt : Attempts)
    Crashes += Attempt.End == attempt_end::Broken && Attempt.BytesSent ? 1 : 0;
  const bool Safe = Request.Idempotent || referenceNotRun(Attempts);
  const bool Paid = OnlyUnconnected || (BudgetLeft && !Request.MarkedAsRetry);
  const bool HasBody = Request.Replayable || !Sent;
  return !Ended && Safe && Paid && HasBody && Crashes < 2 &&
         Attempts.size() < 3;
}

} // namespace

TEST_GROUP(RetryDecision){};

TEST(RetryDecision, provedNotRunMatchesReference) {
  int Histories = 0;
  forAllHistories([&Histories](const std::vector<attempt> &History) {
    CHECK(provedNotRun(History) == referenceNotRun(History));
    ++Histories;
  });
  CHECK(Histories == 1 + 16 + 16 * 16 + 16 * 16 * 16);
}

TEST(RetryDecision, finalErrorSaysNotRunOnlyWhenProved) {
  forAllHistories([](const std::vector<attempt> &History) {
    for (const auto Reason :
         {base::error_kind::NoTarget, base::error_kind::Saturated,
          base::error_kind::DeadlinePassed, base::error_kind::Quarantined}) {
      const base::error_kind Kind = finalErrorKind(History, Reason);
      const bool SaysNotRun =
          base::answerOf(Kind).Execution == base::execution::NotRun;
      CHECK(SaysNotRun == referenceNotRun(History));
      CHECK(base::answerOf(Kind).RetryAfter.has_value());
    }
  });
}

TEST(RetryDecision, attemptRefusalMatchesReference) {
  for (int Flags = 0; Flags < 16; ++Flags) {
    const request_profile Request = {.Idempotent = (Flags & 1) != 0,
                                     .Replayable = (Flags & 2) != 0,
                                     .Deadline = base::instant(seconds(2)),
                                     .MarkedAsRetry = (Flags & 4) != 0};
    const bool BudgetLeft = (Flags & 8) != 0;
    forAllHistories([&](const std::vector<attempt> &History) {
      attempt_limits Limits = {.Now = base::instant(seconds(1)),
                               .MaxAttempts = 3,
                               .BudgetLeft = BudgetLeft};
      const auto Refusal = attemptRefusal(Request, History, Limits);
      CHECK(!Refusal.has_value() ==
            referenceMayRetry(Request, History, BudgetLeft));
      if (Refusal)
        CHECK((base::answerOf(*Refusal).Execution == base::execution::NotRun) ==
              referenceNotRun(History));
      Limits.Now = Request.Deadline;
      CHECK(attemptRefusal(Request, History, Limits).has_value());
    });
  }
}

TEST(RetryDecision, responseWithExhaustedRetriesIsFinal) {
  const request_profile Request = {.Idempotent = true,
                                   .Replayable = true,
                                   .Deadline = base::instant(seconds(2))};
  const std::vector<attempt> History = {{.BytesSent = true,
                                         .End = attempt_end::Answered,
                                         .Status = 503,
                                         .RetriesExhausted = true}};
  CHECK(attemptRefusal(Request, History, {.MaxAttempts = 3, .BudgetLeft = true})
            .has_value());
}
