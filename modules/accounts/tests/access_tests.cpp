// Tests of keys: who may run a request, with a view of which age.

#include "fulmar/accounts/access.h"
#include "fulmar/accounts/viewproof.h"
#include "fulmar/testing/property.h"

#include <CppUTest/TestHarness.h>

using namespace fulmar;
using namespace fulmar::accounts;
using std::chrono::milliseconds;

namespace {

base::instant at(std::int64_t Ms) { return base::instant(milliseconds(Ms)); }

account_directory directory() {
  return account_directory(std::make_shared<fleet::account_set>(
      fleet::account_set{.Required = true,
                         .Accounts = {{.Name = "one", .Keys = {"k1", "k2"}},
                                      {.Name = "two", .Keys = {"k3"}}},
                         .PublicRoutes = {"open"}}));
}

access_decision decide(std::string_view Authorization, std::string_view Route,
                       std::int64_t ProofAgeMs, bool Strict = true) {
  return decideAccess(
      directory(),
      {.StrictRevocation = Strict, .RevokeLimit = milliseconds(5'000)},
      {.Authorization = Authorization,
       .Route = Route,
       .Now = at(100'000),
       .ProvedAt = at(100'000 - ProofAgeMs)});
}

} // namespace

TEST_GROUP(Access){};

TEST(Access, aKeyGivesItsAccount) {
  const auto Decision = decide("Bearer k2", "closed", 10);
  CHECK_TRUE(Decision.Outcome == access_outcome::Granted);
  STRCMP_EQUAL("one", Decision.Account->Name.c_str());
  CHECK_TRUE(decide("bearer  k3 ", "closed", 10).Account != nullptr);
}

// Guards against requests that run without a key, or under a part of one.
TEST(Access, nothingElseRuns) {
  for (const char *Other :
       {"", "Bearer ", "Bearer k", "Bearer k11", "Basic k1", "k1", "Bearer"})
    CHECK_TRUE(decide(Other, "closed", 10).Outcome ==
               access_outcome::UnknownKey);
}

TEST(Access, publicRoutesNeedNoKeyAndTakeOne) {
  CHECK_TRUE(decide("", "open", 10).Outcome == access_outcome::Anonymous);
  CHECK_TRUE(decide("Bearer x", "open", 10).Outcome ==
             access_outcome::Anonymous);
  CHECK_TRUE(decide("Bearer k1", "open", 10).Account != nullptr);
}

// Guards against keys that were taken away and still run at an entry that
// stood still or is cut off.
TEST(Access, aKnownKeyNeedsARecentProofWhereRevocationIsStrict) {
  CHECK_TRUE(decide("Bearer k1", "closed", 4'700).Outcome ==
             access_outcome::Granted);
  CHECK_TRUE(decide("Bearer k1", "closed", 4'750).Outcome ==
             access_outcome::Unproved);
  CHECK_TRUE(decide("Bearer k1", "open", 4'750).Outcome ==
             access_outcome::Unproved);
  CHECK_TRUE(decide("Bearer k1", "closed", 60'000, false).Outcome ==
             access_outcome::Granted);
}

// Guards against 401 for a key that was added and has not arrived yet.
TEST(Access, anUnknownKeyIsCalledSoOnlyByARecentView) {
  CHECK_TRUE(decide("Bearer x", "closed", 1'400).Outcome ==
             access_outcome::UnknownKey);
  CHECK_TRUE(decide("Bearer x", "closed", 1'500).Outcome ==
             access_outcome::Unproved);
  CHECK_TRUE(decide("Bearer x", "closed", 1'500, false).Outcome ==
             access_outcome::Unproved);
}

TEST(Access, withoutAccountsNoKeyIsNeeded) {
  CHECK_TRUE(decideAccess(account_directory(nullptr), {}, {}).Outcome ==
             access_outcome::NotRequired);
  CHECK_TRUE(
      decideAccess(account_directory(std::make_shared<fleet::account_set>()),
                   {}, {})
          .Outcome == access_outcome::NotRequired);
}

// Guards against an empty list of accounts that lets everybody in.
TEST(Access, aPlanWithoutAnyAccountLetsNobodyIn) {
  const account_directory Empty(std::make_shared<fleet::account_set>(
      fleet::account_set{.Required = true}));
  CHECK_TRUE(decideAccess(
                 Empty, {},
                 {.Authorization = "Bearer ", .Now = at(10), .ProvedAt = at(9)})
                 .Outcome == access_outcome::UnknownKey);
}

TEST_GROUP(ViewProof){};

TEST(ViewProof, countsFromTheQuestion) {
  view_proof Proof;
  CHECK_FALSE(Proof.provedAt().has_value());
  const auto Nonce = Proof.ask(at(1'000));
  Proof.applied(7);
  Proof.answer(Nonce, 7, milliseconds(40));
  CHECK_TRUE(Proof.provedAt() == at(960));
}

// Guards against a proof of a state that the entry does not have yet.
TEST(ViewProof, waitsForTheStateThatItCovers) {
  view_proof Proof;
  Proof.applied(7);
  Proof.answer(Proof.ask(at(1'000)), 8, milliseconds(0));
  CHECK_FALSE(Proof.provedAt().has_value());
  Proof.applied(8);
  CHECK_TRUE(Proof.provedAt() == at(1'000));
}

// Guards against instances without a quorum, such as a deposed leader, and
// against replies that nobody asked for.
TEST(ViewProof, takesNothingFromRepliesThatProveNothing) {
  view_proof Proof;
  Proof.answer(Proof.ask(at(1'000)), 0, milliseconds(-1));
  Proof.answer(99, 0, milliseconds(0));
  const auto Nonce = Proof.ask(at(2'000));
  Proof.answer(Nonce, 0, milliseconds(0));
  Proof.answer(Nonce, 0, milliseconds(-500));
  CHECK_TRUE(Proof.provedAt() == at(2'000));
}

// The rule itself, over random orders of events: no request runs that was sent
// later than the limit after the acknowledgement that took its key away,
// whatever the entry's links and stalls.
TEST(ViewProof, noKeyOutlivesItsRevocation) {
  CHECK_TRUE(rc::check("revocation", [] {
    constexpr std::int64_t LimitMs = 5'000;
    const auto RevokedAt = *rc::gen::inRange<std::int64_t>(0, 20'000);
    view_proof Proof;
    std::int64_t Now = 0;
    bool EntryKnows = false;
    std::map<std::uint64_t, std::pair<std::uint64_t, std::int64_t>> OnTheWay;
    const auto Steps =
        *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
    for (const int Step : Steps) {
      // A stall is a long step.
      Now += Step > 95 ? Step * 60 : Step;
      if (Step % 3 == 0) {
        // The instance has a proof of some age, and the state of that time.
        const std::int64_t Age = Step % 7 * 300;
        const std::uint64_t Latest = Now - Age >= RevokedAt ? 2 : 1;
        OnTheWay[Proof.ask(at(Now))] = {Latest, Age};
      }
      if (Step % 5 == 0 && !OnTheWay.empty()) {
        const auto First = OnTheWay.begin();
        Proof.answer(First->first, First->second.first,
                     milliseconds(First->second.second));
        OnTheWay.erase(First);
      }
      if (Step % 11 == 0)
        Proof.applied(EntryKnows ? 2 : 1);
      if (Step % 13 == 0 && Now >= RevokedAt) {
        EntryKnows = true;
        Proof.applied(2);
      }
      const access_decision Decision = decideAccess(
          directory(),
          {.StrictRevocation = true, .RevokeLimit = milliseconds(LimitMs)},
          {.Authorization = "Bearer k1",
           .Route = "closed",
           .Now = at(Now),
           .ProvedAt = Proof.provedAt()});
      const bool Runs =
          !EntryKnows && Decision.Outcome == access_outcome::Granted;
      RC_ASSERT(!Runs || Now <= RevokedAt + LimitMs);
    }
  }));
}
