// Granting, settlement and expiry of claims.

#include "fulmar/claims/claimtable.h"

#include "fulmar/claims/claimpacking.h"

namespace fulmar::claims {

namespace {

/// Estimate for the nodes of the map and of the indexes.
constexpr std::size_t RecordOverheadBytes = 256;

} // namespace

std::size_t claim_table::bytesOf(const record_map::value_type &Entry) {
  const auto &[Key, Record] = Entry;
  std::size_t Total = RecordOverheadBytes + Key.first.size() +
                      Key.second.size() + Record.Holder.size();
  if (Record.Answer)
    Total += Record.Answer->ContentType.size() + Record.Answer->Body.size();
  return Total;
}

claim_result claim_table::answerOf(const record &Record,
                                   const std::string &Holder) {
  if (Record.Stage == stage::Recorded)
    return {.State = claim_state::Recorded, .Answer = Record.Answer};
  if (Record.Stage == stage::Unknown)
    return {.State = claim_state::OutcomeUnknown};
  return {.State = Record.Holder == Holder ? claim_state::Granted
                                           : claim_state::InProgress};
}

base::result<claim_result> claim_table::claim(const claim_request &Request,
                                              std::int64_t NowMs) {
  if (Request.Key.empty() || Request.Key.size() > MaxKeyBytes)
    return base::fail(base::error_kind::BadRequest,
                      "the idempotency key must have 1 to " +
                          std::to_string(MaxKeyBytes) + " bytes");
  advance(NowMs);
  const claim_key Key(Request.Service.str(), Request.Key);
  const auto Found = Claims.find(Key);
  if (Found == Claims.end())
    return grant(Key, Request);
  const record &Record = Found->second;
  if (Record.Stage == stage::Released) {
    if (Record.Holder == Request.Holder)
      return base::fail(base::error_kind::Conflict,
                        "this holder already gave the key up");
    erase(Found);
    return grant(Key, Request);
  }
  if (Record.ContentDigest != Request.ContentDigest)
    return base::fail(base::error_kind::ClaimMismatch,
                      "the idempotency key was used with other content");
  return answerOf(Record, Request.Holder);
}

base::result<claim_result> claim_table::grant(const claim_key &Key,
                                              const claim_request &Request) {
  const record_map::value_type Entry(
      Key, {.ContentDigest = Request.ContentDigest, .Holder = Request.Holder});
  if (Claims.size() >= Limits.MaxCount ||
      Bytes + bytesOf(Entry) > Limits.MaxBytes)
    return base::fail(base::error_kind::Saturated, "too many claims are kept");
  insertIndexes(Entry);
  Claims.insert(Entry);
  return claim_result{.State = claim_state::Granted};
}

base::result<void>
claim_table::settle(const claim_request &Request, claim_end End,
                    const std::optional<recorded_answer> &Answer,
                    std::int64_t NowMs) {
  advance(NowMs);
  const auto Entry = Claims.find({Request.Service.str(), Request.Key});
  const bool IsHolder = Entry != Claims.end() &&
                        Entry->second.Holder == Request.Holder &&
                        Entry->second.ContentDigest == Request.ContentDigest;
  if (!IsHolder)
    return base::fail(base::error_kind::Conflict, "the claim is not held");
  const bool CanRecord =
      End == claim_end::Finished && Answer &&
      Answer->Body.size() <= Limits.MaxAnswerBytes &&
      Bytes + Answer->Body.size() + Answer->ContentType.size() <=
          Limits.MaxBytes;
  const stage NewStage = End == claim_end::NotRun ? stage::Released
                         : CanRecord              ? stage::Recorded
                                                  : stage::Unknown;
  const record &Record = Entry->second;
  if (Record.Stage != stage::Held) {
    const bool Repeated =
        Record.Stage == NewStage &&
        (NewStage != stage::Recorded || Record.Answer == Answer);
    if (Repeated)
      return base::success();
    return base::fail(base::error_kind::Conflict, "the claim is settled");
  }
  const std::int64_t RetentionMs =
      NewStage == stage::Released ? ReleasedRetentionMs : Limits.RetentionMs;
  finish(Entry, NewStage, Answer, NowMs + RetentionMs);
  return base::success();
}

void claim_table::finish(record_map::iterator Entry, stage Stage,
                         const std::optional<recorded_answer> &Answer,
                         std::int64_t ExpiresMs) {
  Unsettled.erase({Entry->second.Holder, Entry->first});
  Bytes -= bytesOf(*Entry);
  Entry->second.Stage = Stage;
  Entry->second.ExpiresMs = ExpiresMs;
  if (Stage == stage::Recorded)
    Entry->second.Answer = Answer;
  insertIndexes(*Entry);
}

void claim_table::abandonClaims(const std::string &HolderPrefix,
                                std::int64_t NowMs) {
  for (auto Held = Unsettled.lower_bound({HolderPrefix, {}});
       Held != Unsettled.end() && Held->first.starts_with(HolderPrefix);
       Held = Unsettled.lower_bound({HolderPrefix, {}}))
    finish(Claims.find(Held->second), stage::Unknown, std::nullopt,
           NowMs + Limits.RetentionMs);
}

void claim_table::advance(std::int64_t NowMs) {
  while (!Expiries.empty() && Expiries.begin()->first <= NowMs)
    erase(Claims.find(Expiries.begin()->second));
}

void claim_table::insertIndexes(const record_map::value_type &Entry) {
  const auto &[Key, Record] = Entry;
  if (Record.Stage == stage::Held)
    Unsettled.insert({Record.Holder, Key});
  else
    Expiries.insert({Record.ExpiresMs, Key});
  Bytes += bytesOf(Entry);
}

void claim_table::erase(record_map::iterator Entry) {
  const auto &[Key, Record] = *Entry;
  if (Record.Stage == stage::Held)
    Unsettled.erase({Record.Holder, Key});
  else
    Expiries.erase({Record.ExpiresMs, Key});
  Bytes -= bytesOf(*Entry);
  Claims.erase(Entry);
}

std::string claim_table::encode() const { return packValue(Claims); }

base::result<void> claim_table::decode(std::string_view Encoded) {
  BOOST_OUTCOME_TRY(Decoded, unpackValue<record_map>(Encoded));
  claim_table Restored(Limits);
  Restored.Claims = std::move(Decoded);
  for (const record_map::value_type &Entry : Restored.Claims)
    Restored.insertIndexes(Entry);
  *this = std::move(Restored);
  return base::success();
}

} // namespace fulmar::claims
