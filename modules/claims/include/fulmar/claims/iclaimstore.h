// Claims on idempotency keys, made before a request is dispatched.

#ifndef FULMAR_CLAIMS_ICLAIMSTORE_H
#define FULMAR_CLAIMS_ICLAIMSTORE_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/result.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace fulmar::claims {

/// What identifies a keyed request.
struct claim_request {
  base::service_name Service;
  std::string Key;
  /// Digest of method, path and body; a claim with another one is refused.
  std::uint64_t ContentDigest = 0;
  /// Unique to this arrival of the request, e.g. instance, start and count;
  /// repeating a claim under the same holder is idempotent.
  std::string Holder;

  friend auto operator<=>(const claim_request &,
                          const claim_request &) = default;
};

/// The answer that a keyed request was given, kept for its resends.
struct recorded_answer {
  int Status = 0;
  std::string ContentType;
  std::string Body;

  friend auto operator<=>(const recorded_answer &,
                          const recorded_answer &) = default;
};

enum class claim_state : std::uint8_t {
  /// The asker holds the claim and may dispatch.
  Granted,
  /// Another holder is at it.
  InProgress,
  /// Finished; the answer was recorded.
  Recorded,
  /// It may or may not have run; it is never run again.
  OutcomeUnknown,
};

struct claim_result {
  claim_state State = claim_state::OutcomeUnknown;
  std::optional<recorded_answer> Answer;

  friend auto operator<=>(const claim_result &, const claim_result &) = default;
};

/// How a granted claim ended.
enum class claim_end : std::uint8_t {
  /// Answer holds the outcome.
  Finished,
  /// Proved not run: the key is free again.
  NotRun,
  /// Unknown, or an answer too large to record.
  Unknown,
};

/// Thread-safe; blocks on the network.
class iclaim_store {
public:
  virtual ~iclaim_store() = default;
  /// Fails with ClaimMismatch for other content under the same key, and with
  /// NoQuorum or Timeout when the claim could not be made durable.
  virtual base::result<claim_result> claim(const claim_request &Request) = 0;
  virtual base::result<void>
  settle(const claim_request &Request, claim_end End,
         const std::optional<recorded_answer> &Answer) = 0;
};

} // namespace fulmar::claims

#endif // FULMAR_CLAIMS_ICLAIMSTORE_H
