// Deterministic table of the claims on idempotency keys. A key is granted to
// one holder at a time. Unless that holder proves that the request did not run,
// the key is not granted to another one until the retention time has passed.

#ifndef FULMAR_CLAIMS_CLAIMTABLE_H
#define FULMAR_CLAIMS_CLAIMTABLE_H

#include "fulmar/claims/iclaimstore.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace fulmar::claims {

struct claim_limits {
  /// How long a claim is kept after it was settled.
  std::int64_t RetentionMs = 86'400'000;
  std::size_t MaxCount = 200'000;
  std::size_t MaxBytes = std::size_t{256} << 20;
  /// Longer answers are not recorded; the outcome of the claim becomes unknown.
  std::size_t MaxAnswerBytes = std::size_t{64} << 10;
};

inline constexpr std::size_t MaxKeyBytes = 256;
/// How long a released key remembers its last holder, so that a delayed
/// duplicate of that holder's claim is not granted.
inline constexpr std::int64_t ReleasedRetentionMs = 60'000;

/// All times are in milliseconds of the replicated clock.
class claim_table {
public:
  explicit claim_table(const claim_limits &Initial = {}) : Limits(Initial) {}

  /// Affects only claims that are made or settled afterwards.
  void setLimits(const claim_limits &NewLimits) { Limits = NewLimits; }

  /// Fails with ClaimMismatch if the key was used with different content,
  /// Saturated if the table is full, Conflict if this holder has already
  /// released the key, and BadRequest if the key is empty or longer than
  /// MaxKeyBytes.
  base::result<claim_result> claim(const claim_request &Request,
                                   std::int64_t NowMs);
  /// Ends a claim. Repeating a settlement is idempotent. Fails with Conflict,
  /// without any change, if the claim is not held by the holder in \p Request
  /// or was settled differently.
  base::result<void> settle(const claim_request &Request, claim_end End,
                            const std::optional<recorded_answer> &Answer,
                            std::int64_t NowMs);
  /// Sets the outcome of all unsettled claims to unknown whose holder's name
  /// begins with \p HolderPrefix.
  void abandonClaims(const std::string &HolderPrefix, std::int64_t NowMs);
  /// Drops settled claims whose retention time has passed.
  void advance(std::int64_t NowMs);

  [[nodiscard]] std::size_t count() const { return Claims.size(); }
  [[nodiscard]] std::size_t bytes() const { return Bytes; }
  [[nodiscard]] std::size_t unsettled() const { return Unsettled.size(); }

  [[nodiscard]] std::string encode() const;
  /// Replaces the claims and keeps the limits. Fails with BadRequest, without
  /// any change, on malformed bytes.
  base::result<void> decode(std::string_view Encoded);

private:
  enum class stage : std::uint8_t { Held, Recorded, Unknown, Released };
  using claim_key = std::pair<std::string, std::string>;
  struct record {
    std::uint64_t ContentDigest = 0;
    std::string Holder;
    stage Stage = stage::Held;
    std::optional<recorded_answer> Answer;
    /// Not used in stage Held: a held claim does not expire.
    std::int64_t ExpiresMs = 0;
  };
  using record_map = std::map<claim_key, record>;

  friend auto fieldsOf(record &Item) {
    return std::tie(Item.ContentDigest, Item.Holder, Item.Stage, Item.Answer,
                    Item.ExpiresMs);
  }
  friend constexpr stage lastOf(stage /*Kind*/) { return stage::Released; }

  static std::size_t bytesOf(const record_map::value_type &Entry);
  static claim_result answerOf(const record &Record, const std::string &Holder);
  base::result<claim_result> grant(const claim_key &Key,
                                   const claim_request &Request);
  void finish(record_map::iterator Entry, stage Stage,
              const std::optional<recorded_answer> &Answer,
              std::int64_t ExpiresMs);
  void insertIndexes(const record_map::value_type &Entry);
  void erase(record_map::iterator Entry);

  claim_limits Limits;
  record_map Claims;
  /// Holder and key of every held claim.
  std::set<std::pair<std::string, claim_key>> Unsettled;
  /// Expiry and key of every claim that is not held.
  std::set<std::pair<std::int64_t, claim_key>> Expiries;
  /// Sum of bytesOf() of all claims.
  std::size_t Bytes = 0;
};

} // namespace fulmar::claims

#endif // FULMAR_CLAIMS_CLAIMTABLE_H
