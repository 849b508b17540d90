// Tests of the claim table. The property test compares it with a list of the
// claims that were granted.

#include "fulmar/claims/claimtable.h"
#include "fulmar/claims/holder.h"
#include "fulmar/testing/property.h"

#include <optional>

using namespace fulmar;
using namespace fulmar::claims;

namespace {

constexpr claim_limits Limits{
    .RetentionMs = 1000, .MaxCount = 4, .MaxBytes = 4096, .MaxAnswerBytes = 64};

claim_request request(const std::string &Key, const std::string &Holder,
                      std::uint64_t Digest = 1) {
  return {.Service = base::service_name("s"),
          .Key = Key,
          .ContentDigest = Digest,
          .Holder = Holder};
}

claim_state stateOf(claim_table &Table, const claim_request &Request,
                    std::int64_t NowMs = 0) {
  return Table.claim(Request, NowMs).value().State;
}

/// What the caller of the table knows about a granted claim.
struct granted_claim {
  std::string Holder;
  bool ProvedNotRun = false;
  /// When the claim was settled or abandoned.
  std::optional<std::int64_t> EndedMs;
  std::optional<recorded_answer> Answer;
};

/// Performs steps on a table and checks its results against earlier ones.
class claim_checker {
public:
  void claim(const claim_request &Request) {
    const auto Answer = Table.claim(Request, NowMs);
    std::vector<granted_claim> &Grants = GrantsOf[Request.Key];
    if (!Answer) {
      RC_ASSERT(Answer.error().Kind == base::error_kind::Saturated ||
                Answer.error().Kind == base::error_kind::ClaimMismatch ||
                Answer.error().Kind == base::error_kind::Conflict);
      return;
    }
    if (Answer.value().State == claim_state::Recorded)
      RC_ASSERT(!Grants.empty() &&
                Grants.back().Answer == Answer.value().Answer);
    if (Answer.value().State != claim_state::Granted)
      return;
    const bool Repeated = !Grants.empty() &&
                          Grants.back().Holder == Request.Holder &&
                          !Grants.back().EndedMs;
    if (Repeated)
      return;
    for (const granted_claim &Earlier : Grants)
      RC_ASSERT(
          Earlier.ProvedNotRun ||
          (Earlier.EndedMs && *Earlier.EndedMs + Limits.RetentionMs <= NowMs));
    Grants.push_back({.Holder = Request.Holder});
  }

  void settle(const claim_request &Request, claim_end End,
              const recorded_answer &Answer) {
    const auto Recorded =
        End == claim_end::Finished ? std::optional(Answer) : std::nullopt;
    if (!Table.settle(Request, End, Recorded, NowMs))
      return;
    granted_claim &Last = GrantsOf[Request.Key].back();
    RC_ASSERT(Last.Holder == Request.Holder);
    if (Last.EndedMs)
      return;
    Last.EndedMs = NowMs;
    Last.ProvedNotRun = End == claim_end::NotRun;
    Last.Answer = Recorded;
  }

  void abandon(const std::string &Prefix) {
    Table.abandonClaims(Prefix, NowMs);
    for (auto &[Key, Grants] : GrantsOf) {
      if (!Grants.empty() && !Grants.back().EndedMs &&
          Grants.back().Holder.starts_with(Prefix))
        Grants.back().EndedMs = NowMs;
    }
  }

  void restart() {
    claim_table Restored(Limits);
    RC_ASSERT(Restored.decode(Table.encode()).has_value());
    RC_ASSERT(Restored.bytes() == Table.bytes());
    RC_ASSERT(Restored.encode() == Table.encode());
    Table = std::move(Restored);
  }

  void advanceClock(std::int64_t Ms) { NowMs += Ms; }

  void checkBounds() const {
    RC_ASSERT(Table.count() <= Limits.MaxCount);
    RC_ASSERT(Table.bytes() <= Limits.MaxBytes);
  }

private:
  claim_table Table{Limits};
  std::int64_t NowMs = 0;
  std::map<std::string, std::vector<granted_claim>> GrantsOf;
};

struct step {
  int Action = 0;
  int Key = 0;
  int Holder = 0;
  int Detail = 0;
};

rc::Gen<step> anyStep() {
  using rc::gen::inRange;
  return rc::gen::build<step>(rc::gen::set(&step::Action, inRange(0, 12)),
                              rc::gen::set(&step::Key, inRange(0, 6)),
                              rc::gen::set(&step::Holder, inRange(0, 6)),
                              rc::gen::set(&step::Detail, inRange(0, 10)));
}

void perform(claim_checker &Checker, const step &Step) {
  // Two instances with three holders each. Delayed duplicates occur because the
  // same holders repeatedly use the same keys.
  const std::string Instance = Step.Holder < 3 ? "a" : "b";
  const claim_request Request = request(
      "k" + std::to_string(Step.Key),
      makeHolder({Instance, "1", static_cast<std::uint64_t>(Step.Holder)}),
      Step.Detail == 0 ? 2 : 1);
  if (Step.Action < 5)
    return Checker.claim(Request);
  if (Step.Action < 9)
    return Checker.settle(
        Request, static_cast<claim_end>(Step.Detail % 3),
        {.Status = 200, .Body = "answer " + std::to_string(Step.Detail)});
  if (Step.Action == 9)
    return Checker.abandon(holderPrefix(Instance, "1"));
  if (Step.Action == 10)
    return Checker.restart();
  Checker.advanceClock(Step.Detail * 100);
}

} // namespace

TEST_GROUP(ClaimTable) { claim_table Table{Limits}; };

TEST(ClaimTable, grantsKeyAtMostOnceWithinRetention) {
  testing::checkProperty("at most one run a key", [] {
    claim_checker Checker;
    for (const step &Step :
         *rc::gen::container<std::vector<step>>(200, anyStep())) {
      perform(Checker, Step);
      Checker.checkBounds();
    }
  });
}

TEST(ClaimTable, repeatedClaimIsGrantedToHolderOnly) {
  CHECK(stateOf(Table, request("k", "a/1/1")) == claim_state::Granted);
  CHECK(stateOf(Table, request("k", "a/1/1")) == claim_state::Granted);
  CHECK(stateOf(Table, request("k", "b/1/1")) == claim_state::InProgress);
  CHECK(Table.claim(request("k", "b/1/1", 9), 0).error().Kind ==
        base::error_kind::ClaimMismatch);
}

TEST(ClaimTable, returnsRecordedAnswerUntilRetentionEnds) {
  const recorded_answer Answer{.Status = 201, .Body = "done"};
  stateOf(Table, request("k", "a/1/1"));
  CHECK(Table.settle(request("k", "a/1/1"), claim_end::Finished, Answer, 10)
            .has_value());
  const auto Repeated = Table.claim(request("k", "b/1/1"), 1009);
  CHECK(Repeated.value().Answer == Answer);
  CHECK(stateOf(Table, request("k", "b/1/1"), 1010) == claim_state::Granted);
}

TEST(ClaimTable, abandonedClaimStaysUnknownAfterLateSettlement) {
  stateOf(Table, request("k", "a/1/1"));
  Table.abandonClaims(holderPrefix("a", "1"), 0);
  CHECK(stateOf(Table, request("k", "b/1/1")) == claim_state::OutcomeUnknown);
  for (const claim_end End : {claim_end::Finished, claim_end::NotRun})
    CHECK(Table.settle(request("k", "a/1/1"), End, recorded_answer{}, 5)
              .has_error());
  CHECK(stateOf(Table, request("k", "b/1/1")) == claim_state::OutcomeUnknown);
}

TEST(ClaimTable, abandonsOnlyExactHolderPrefix) {
  stateOf(Table, request("k", "a/11/1"));
  stateOf(Table, request("l", "ab/1/1"));
  Table.abandonClaims(holderPrefix("a", "1"), 0);
  LONGS_EQUAL(2, Table.unsettled());
}

TEST(ClaimTable, releasedKeyIsNotGrantedToSameHolder) {
  stateOf(Table, request("k", "a/1/1"));
  CHECK(Table.settle(request("k", "a/1/1"), claim_end::NotRun, {}, 0)
            .has_value());
  CHECK(Table.claim(request("k", "a/1/1"), 1).error().Kind ==
        base::error_kind::Conflict);
  CHECK(stateOf(Table, request("k", "b/1/1", 2), 1) == claim_state::Granted);
}

TEST(ClaimTable, fullTableRejectsNewClaims) {
  for (int Count = 0; Count < 4; ++Count)
    stateOf(Table, request("k" + std::to_string(Count), "a/1/1"));
  CHECK(Table.claim(request("more", "a/1/1"), 0).error().Kind ==
        base::error_kind::Saturated);
  CHECK(stateOf(Table, request("k0", "b/1/1")) == claim_state::InProgress);
}

TEST(ClaimTable, tooLargeAnswerLeavesOutcomeUnknown) {
  stateOf(Table, request("k", "a/1/1"));
  CHECK(Table
            .settle(request("k", "a/1/1"), claim_end::Finished,
                    recorded_answer{.Body = std::string(65, 'x')}, 0)
            .has_value());
  CHECK(stateOf(Table, request("k", "b/1/1")) == claim_state::OutcomeUnknown);
}

TEST(ClaimTable, malformedInputHasNoEffect) {
  stateOf(Table, request("k", "a/1/1"));
  const std::string Encoded = Table.encode();
  for (std::size_t Length = 0; Length < Encoded.size(); ++Length)
    CHECK(Table.decode(Encoded.substr(0, Length)).has_error());
  testing::checkProperty("any bytes", [&](const std::string &Bytes) {
    claim_table Other;
    (void)Other.decode(Bytes);
  });
  LONGS_EQUAL(1, Table.unsettled());
}

TEST(ClaimTable, holderNamesRoundTrip) {
  const holder_name Name{.Instance = "e-1", .Incarnation = "17/x", .Count = 9};
  CHECK(parseHolder(makeHolder(Name)) == Name);
  for (const char *Wrong : {"", "a", "a/1", "/1/1", "a/1/x"})
    CHECK_TEXT(!parseHolder(Wrong).has_value(), Wrong);
}
