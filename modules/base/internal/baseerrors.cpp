// The table from error kind to answer.

#include "fulmar/base/baseerrors.h"

#include <algorithm>
#include <array>

namespace fulmar::base {

namespace {

using std::chrono::seconds;

constexpr auto NotRun = execution::NotRun;
constexpr auto Unknown = execution::Unknown;

constexpr std::array<error_answer, ErrorKindCount> Answers = {{
    {error_kind::BadRequest, "bad-request", 400, -33001, NotRun, {}},
    {error_kind::RequestTooLarge, "request-too-large", 413, -33002, NotRun, {}},
    {error_kind::UnknownService, "unknown-service", 404, -33003, NotRun, {}},
    {error_kind::UnknownMethod, "unknown-method", 404, -32601, NotRun, {}},
    {error_kind::Unauthorized, "unauthorized", 403, -33004, NotRun, {}},
    {error_kind::NoTarget, "no-target", 503, -33010, NotRun, seconds(1)},
    {error_kind::Saturated, "saturated", 503, -33011, NotRun, seconds(1)},
    {error_kind::StaleKnowledge, "stale-knowledge", 503, -33012, NotRun,
     seconds(2)},
    {error_kind::Quarantined, "quarantined", 503, -33013, NotRun, seconds(60)},
    {error_kind::Stopping, "stopping", 503, -33014, NotRun, seconds(1)},
    {error_kind::DeadlinePassed, "deadline-passed", 504, -33015, NotRun,
     seconds(1)},
    {error_kind::ClaimInProgress, "claim-in-progress", 409, -33020, Unknown,
     seconds(1)},
    {error_kind::ClaimMismatch, "claim-mismatch", 422, -33021, NotRun, {}},
    {error_kind::OutcomeUnknown, "outcome-unknown", 502, -33030, Unknown,
     seconds(5)},
    {error_kind::TargetTimeout, "target-timeout", 504, -33031, Unknown,
     seconds(5)},
    {error_kind::TruncatedAnswer, "truncated-answer", 502, -33032, Unknown,
     seconds(5)},
    {error_kind::NotLeader, "not-leader", 503, -33040, NotRun, seconds(1)},
    {error_kind::NoQuorum, "no-quorum", 503, -33041, Unknown, seconds(2)},
    {error_kind::Conflict, "conflict", 409, -33042, NotRun, {}},
    {error_kind::InvalidDocument, "invalid-document", 422, -33043, NotRun, {}},
    {error_kind::NotFound, "not-found", 404, -33044, NotRun, {}},
    {error_kind::Unreachable, "unreachable", 503, -33050, Unknown, seconds(1)},
    {error_kind::Timeout, "timeout", 504, -33051, Unknown, seconds(1)},
    {error_kind::StorageFull, "storage-full", 507, -33052, NotRun, seconds(30)},
    {error_kind::Corrupt, "corrupt", 500, -33053, Unknown, {}},
    {error_kind::Internal, "internal", 500, -32603, Unknown, {}},
    {error_kind::UnknownKey, "unknown-key", 401, -33060, NotRun, {}},
    {error_kind::UnprovedKey, "unproved-key", 503, -33061, NotRun, seconds(1)},
    {error_kind::QuotaExceeded, "quota-exceeded", 429, -33062, NotRun,
     seconds(1)},
    {error_kind::NoQuotaHolder, "no-quota-holder", 503, -33063, NotRun,
     seconds(1)},
}};

} // namespace

const error_answer &answerOf(error_kind Kind) {
  return Answers[static_cast<std::size_t>(Kind)];
}

error_kind kindOfRpcCode(int Code) {
  const auto *Found = std::find_if(
      Answers.begin(), Answers.end(),
      [Code](const error_answer &Answer) { return Answer.RpcCode == Code; });
  return Found == Answers.end() ? error_kind::Internal : Found->Kind;
}

} // namespace fulmar::base
