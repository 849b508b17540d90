// Decisions on "not run" and on retries.

#include "fulmar/routing/retrydecision.h"

#include <algorithm>
#include <array>

namespace fulmar::routing {

namespace {

using base::error_kind;

struct attempt_end_traits {
  attempt_end End;
  /// Whether the attempt proves that the target did not run the request, if no
  /// byte was sent and if at least one byte was sent.
  bool NotRunIfUnsent;
  bool NotRunIfSent;
  /// Error that the caller gets if the attempt does not prove this.
  error_kind UnprovenKind;
};

constexpr std::array<attempt_end_traits, 7> EndTraits = {{
    {attempt_end::Answered, false, false, error_kind::OutcomeUnknown},
    {attempt_end::NotConnected, true, false, error_kind::OutcomeUnknown},
    {attempt_end::Refused, true, true, error_kind::OutcomeUnknown},
    {attempt_end::Broken, true, false, error_kind::OutcomeUnknown},
    {attempt_end::TimedOut, true, false, error_kind::TargetTimeout},
    {attempt_end::Truncated, false, false, error_kind::TruncatedAnswer},
    {attempt_end::Cancelled, true, false, error_kind::OutcomeUnknown},
}};

const attempt_end_traits &traitsOf(const attempt &Attempt) {
  return EndTraits[static_cast<std::size_t>(Attempt.End)];
}

bool provesNotRun(const attempt &Attempt) {
  const attempt_end_traits &Traits = traitsOf(Attempt);
  return Attempt.BytesSent ? Traits.NotRunIfSent : Traits.NotRunIfUnsent;
}

/// Whether no further attempt may follow: the response is passed on to the
/// caller, a level below has used up its retries, or the request was cancelled.
bool isFinal(const attempt &Attempt) {
  constexpr std::array<int, 3> RetryableStatus = {502, 503, 504};
  if (Attempt.RetriesExhausted || Attempt.End == attempt_end::Cancelled)
    return true;
  return Attempt.End == attempt_end::Answered &&
         std::find(RetryableStatus.begin(), RetryableStatus.end(),
                   Attempt.Status) == RetryableStatus.end();
}

bool bodyNotReplayable(const request_profile &Request,
                       std::span<const attempt> Attempts) {
  return !Request.Replayable &&
         std::any_of(Attempts.begin(), Attempts.end(),
                     [](const attempt &Attempt) { return Attempt.BytesSent; });
}

/// Number of broken connections after which a request is no longer retried,
/// because it may be crashing its targets.
constexpr std::ptrdiff_t MaxBrokenAttempts = 2;

bool maybeCrashing(std::span<const attempt> Attempts) {
  return std::count_if(
             Attempts.begin(), Attempts.end(), [](const attempt &Attempt) {
               return Attempt.End == attempt_end::Broken && Attempt.BytesSent;
             }) >= MaxBrokenAttempts;
}

/// Error for a request that was not run, derived from its last attempt.
error_kind notRunReason(const attempt &Last) {
  return Last.End == attempt_end::Refused ? error_kind::Saturated
                                          : error_kind::NoTarget;
}

} // namespace

bool provedNotRun(std::span<const attempt> Attempts) {
  return std::all_of(Attempts.begin(), Attempts.end(), provesNotRun);
}

bool reachedNoTarget(std::span<const attempt> Attempts) {
  return std::all_of(Attempts.begin(), Attempts.end(),
                     [](const attempt &Attempt) {
                       return !Attempt.BytesSent &&
                              (Attempt.End == attempt_end::NotConnected ||
                               Attempt.End == attempt_end::Broken);
                     });
}

error_kind finalErrorKind(std::span<const attempt> Attempts,
                          error_kind Reason) {
  for (const attempt &Attempt : Attempts)
    if (!provesNotRun(Attempt))
      return traitsOf(Attempt).UnprovenKind;
  return Reason;
}

std::optional<error_kind> attemptRefusal(const request_profile &Request,
                                         std::span<const attempt> Attempts,
                                         const attempt_limits &Limits) {
  if (Limits.Now >= Request.Deadline)
    return finalErrorKind(Attempts, error_kind::DeadlinePassed);
  if (Attempts.empty())
    return std::nullopt;
  const error_kind GivenUp =
      finalErrorKind(Attempts, notRunReason(Attempts.back()));
  if (std::any_of(Attempts.begin(), Attempts.end(), isFinal))
    return GivenUp;
  if (Attempts.size() >= Limits.MaxAttempts ||
      bodyNotReplayable(Request, Attempts))
    return GivenUp;
  if (!Request.Idempotent && !provedNotRun(Attempts))
    return GivenUp;
  if (maybeCrashing(Attempts))
    return GivenUp;
  if (reachedNoTarget(Attempts))
    return std::nullopt;
  if (Request.MarkedAsRetry || !Limits.BudgetLeft)
    return GivenUp;
  return std::nullopt;
}

} // namespace fulmar::routing
