// Claims on idempotency keys. A request with a key is only dispatched after its
// claim was granted, so that resends of the request do not run twice.

#ifndef FULMAR_CLAIMS_ICLAIMSTORE_H
#define FULMAR_CLAIMS_ICLAIMSTORE_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/result.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace fulmar::claims {

/// Identifies a request with an idempotency key.
struct claim_request {
  base::service_name Service;
  std::string Key;
  /// Digest of method, path and body. A claim on the same key with another
  /// digest is rejected.
  std::uint64_t ContentDigest = 0;
  /// Unique for each time that the request is received, see holder.h. Repeating
  /// a claim with the same holder is idempotent.
  std::string Holder;

  friend auto operator<=>(const claim_request &,
                          const claim_request &) = default;
};

/// The answer to a request with an idempotency key, kept for its resends.
struct recorded_answer {
  int Status = 0;
  std::string ContentType;
  std::string Body;

  friend auto operator<=>(const recorded_answer &,
                          const recorded_answer &) = default;
};

enum class claim_state : std::uint8_t {
  /// The caller holds the claim and may dispatch the request.
  Granted,
  /// Another holder is processing the request.
  InProgress,
  /// The request has finished and its answer was recorded.
  Recorded,
  /// The request may or may not have run. It is not run again.
  OutcomeUnknown,
};

struct claim_result {
  claim_state State = claim_state::OutcomeUnknown;
  /// Set if State is Recorded.
  std::optional<recorded_answer> Answer;

  friend auto operator<=>(const claim_result &, const claim_result &) = default;
};

/// How a granted claim ended.
enum class claim_end : std::uint8_t {
  /// The request ran and its answer is passed along.
  Finished,
  /// The request is proved not to have run; its key may be claimed again.
  NotRun,
  /// It is not known whether the request ran, or its answer is too large to
  /// record.
  Unknown,
};

/// Access to the replicated claims. Thread-safe; calls block on the network.
class iclaim_store {
public:
  virtual ~iclaim_store() = default;
  /// Fails with ClaimMismatch if the key was used with different content, and
  /// with NoQuorum or Timeout if the claim could not be made durable.
  virtual base::result<claim_result> claim(const claim_request &Request) = 0;
  /// Ends a granted claim. \p Answer is recorded if \p End is Finished.
  virtual base::result<void>
  settle(const claim_request &Request, claim_end End,
         const std::optional<recorded_answer> &Answer) = 0;
};

} // namespace fulmar::claims

#endif // FULMAR_CLAIMS_ICLAIMSTORE_H
