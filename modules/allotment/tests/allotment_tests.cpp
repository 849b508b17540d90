// Tests of limits that hold over all entries, on a virtual clock: any number of
// entries, holders that change, stand still or are cut off.

#include "fulmar/allotment/allotmentclient.h"
#include "fulmar/allotment/allotmentholder.h"
#include "fulmar/testing/property.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace fulmar;
using namespace fulmar::allotment;
using fleetlink::allotment_reply;
using fleetlink::allotment_request;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t WindowMs = 5'000;
constexpr double Overage = 0.1;
constexpr double Tolerance = 20;

constexpr quota_options Options{.Window = milliseconds(WindowMs),
                                .Overage = Overage,
                                .Tolerance = Tolerance};

base::instant at(std::int64_t Ms) { return base::instant(milliseconds(Ms)); }

/// What an account may use in any window.
double bound(const limit &Limit) {
  return (Limit.TokensPerSecond * WindowMs / 1'000 + Limit.Burst) *
             (1 + Overage) +
         Tolerance;
}

allotment_reply replyOf(allotment_holder &Holder,
                        const allotment_request &Request, std::int64_t Ms) {
  allotment_reply Reply{.Id = Request.Id, .Holder = true};
  for (const auto &Demand : Request.Demands)
    Reply.Grants.push_back(Holder.take(Demand, at(Ms)));
  return Reply;
}

/// Entries and holders of one account; messages take some time or are lost.
class test_fleet {
public:
  test_fleet(std::size_t Entries, const limit &Chosen) : Limit(Chosen) {
    for (std::size_t Entry = 0; Entry < Entries; ++Entry)
      Clients.emplace_back(tokenLifetime(Options));
    changeHolder();
  }
  void changeHolder() {
    Holder = {};
    Holder.setLimits({{"a", granted()}}, at(Now));
    for (auto &Client : Clients)
      Client.holderChanged();
  }
  void setLimit(const limit &Changed) {
    Limit = Changed;
    Holder.setLimits({{"a", granted()}}, at(Now));
  }
  /// A request at an entry.
  void arrive(std::size_t Entry, std::int64_t PatienceMs = 100) {
    ++Asked;
    if (const auto Answer =
            Clients[Entry].ask({.Ticket = ++Ticket,
                                .Account = "a",
                                .GivenUpAt = at(Now + PatienceMs)},
                               at(Now)))
      record(*Answer);
  }
  /// Asks and is answered within this step, unless \p Lost.
  void exchange(std::size_t Entry, bool Lost, std::int64_t DelayMs) {
    if (auto Request = Clients[Entry].takeRequest(at(Now)))
      if (!Lost)
        OnTheWay.push_back(
            {Entry, replyOf(Holder, *Request, Now), Now + DelayMs});
    for (auto &Message : OnTheWay) {
      if (Message.Entry != Entry || Message.At > Now || Message.Reply.Id == 0)
        continue;
      for (const auto &Answer : Clients[Entry].answer(Message.Reply, at(Now)))
        record(Answer);
      Message.Reply.Id = 0;
    }
    std::erase_if(OnTheWay,
                  [](const message &Message) { return Message.Reply.Id == 0; });
    for (const auto &Answer : Clients[Entry].expire(at(Now)))
      record(Answer);
  }
  [[nodiscard]] std::size_t mostInAWindow() const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Used.size(); ++Last) {
      while (Used[Last] - Used[First] >= WindowMs)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  std::int64_t Now = 0;
  std::size_t Asked = 0;
  std::size_t Exceeded = 0;
  std::size_t NoHolder = 0;
  std::vector<std::int64_t> Used;
  std::vector<allotment_client> Clients;

private:
  struct message {
    std::size_t Entry = 0;
    allotment_reply Reply;
    std::int64_t At = 0;
  };
  void record(const token_answer &Answer) {
    if (Answer.Outcome == token_outcome::Granted) {
      CHECK_TRUE(Answer.ExpiresAt > at(Now));
      Used.push_back(Now);
    } else if (Answer.Outcome == token_outcome::Exceeded)
      ++Exceeded;
    else
      ++NoHolder;
  }
  [[nodiscard]] limit granted() const {
    return quotaLimit(Limit.TokensPerSecond, Limit.Burst, Options);
  }
  /// As the account's quota names it.
  limit Limit;
  allotment_holder Holder;
  std::vector<message> OnTheWay;
  std::uint64_t Ticket = 0;
};

} // namespace

TEST_GROUP(Allotment){};

// Guards against more than the limit in any window, with entries and holders
// that are lost, stand still, change or answer late.
TEST(Allotment, noWindowHoldsMoreThanTheLimit) {
  CHECK_TRUE(rc::check("windows", [] {
    const limit Limit{.TokensPerSecond =
                          static_cast<double>(*rc::gen::inRange(1, 300)),
                      .Burst = *rc::gen::inRange(1, 300) / 2.0};
    const auto Entries = *rc::gen::inRange<std::size_t>(1, 20);
    test_fleet Fleet(Entries, Limit);
    const auto Seeds = *rc::gen::container<std::vector<std::uint32_t>>(
        64, rc::gen::arbitrary<std::uint32_t>());
    std::uint32_t State = Seeds[0] | 1U;
    const auto Next = [&State](std::uint32_t Range) {
      State = State * 1'664'525U + 1'013'904'223U;
      return (State >> 8U) % Range;
    };
    for (std::size_t Step = 0; Step < 1'000; ++Step) {
      // Some steps are stalls of the whole process.
      Fleet.Now += Next(200) == 0 ? 700 : 10;
      // Three changes in a window at the most.
      if (Step % 300 == 0 && Next(2) == 0)
        Fleet.changeHolder();
      for (std::uint32_t Arrival = Next(40); Arrival > 0; --Arrival)
        Fleet.arrive(Next(static_cast<std::uint32_t>(Entries)));
      for (std::size_t Entry = 0; Entry < Entries; ++Entry) {
        // An entry may stand still with tokens on their way.
        if (Next(10) > 0)
          Fleet.exchange(Entry, Next(20) == 0,
                         static_cast<std::int64_t>(Next(30)));
      }
    }
    RC_ASSERT(static_cast<double>(Fleet.mostInAWindow()) <= bound(Limit));
  }));
}

// Guards against refusals of what is owed: a usual account over many entries.
TEST(Allotment, almostNothingIsRefusedWithinTheLimit) {
  test_fleet Fleet(195, {.TokensPerSecond = 303, .Burst = 303});
  std::uint32_t State = 1;
  for (Fleet.Now = 10'000; Fleet.Now < 70'000; ++Fleet.Now) {
    State = State * 1'664'525U + 1'013'904'223U;
    // 190 requests a second, five in eight of the limit, in clumps.
    if ((State >> 8U) % 1'000 < 95) {
      Fleet.arrive((State >> 4U) % 195);
      Fleet.arrive((State >> 6U) % 195);
    }
    for (std::size_t Entry = 0; Entry < 195; ++Entry) {
      if (!Fleet.Clients[Entry].idle())
        Fleet.exchange(Entry, false, 0);
    }
  }
  CHECK_TRUE(Fleet.Asked > 10'000);
  CHECK_TRUE((Fleet.Exceeded + Fleet.NoHolder) * 1'000 <= Fleet.Asked);
}

// Guards against requests that are refused after a change of the holder, whose
// buckets are empty, although their account is within its limit.
TEST(Allotment, requestsWaitForTheFirstTokensOfANewHolder) {
  test_fleet Fleet(1, {.TokensPerSecond = 100, .Burst = 100});
  Fleet.Now = 1'000;
  Fleet.changeHolder();
  for (int Request = 0; Request < 12; ++Request)
    Fleet.arrive(0, 200);
  for (; Fleet.Now < 1'200; ++Fleet.Now)
    Fleet.exchange(0, false, 0);
  CHECK_EQUAL(12U, Fleet.Used.size());
  CHECK_EQUAL(0U, Fleet.Exceeded);
}

// Guards against a small account that never gets a token, because its burst is
// less than one request.
TEST(Allotment, aSmallAccountIsServed) {
  test_fleet Fleet(50, {.TokensPerSecond = 0.6, .Burst = 0.6});
  std::uint32_t State = 1;
  for (Fleet.Now = 10'000; Fleet.Now < 110'000; Fleet.Now += 100) {
    State = State * 1'664'525U + 1'013'904'223U;
    const std::size_t Entry = (State >> 4U) % 50;
    if ((State >> 8U) % 1'000 < 37)
      Fleet.arrive(Entry);
    Fleet.exchange(Entry, false, 0);
  }
  CHECK_TRUE(Fleet.Asked > 20);
  CHECK_EQUAL(0U, Fleet.Exceeded + Fleet.NoHolder);
}

// Guards against 429 where nobody has said that the quota is used up.
TEST(Allotment, withoutAHolderRequestsAreGivenUpAndNotCalledExceeded) {
  test_fleet Fleet(1, {.TokensPerSecond = 100, .Burst = 100});
  Fleet.Now = 1'000;
  Fleet.arrive(0, 100);
  for (; Fleet.Now < 1'500; Fleet.Now += 10)
    Fleet.exchange(0, true, 0);
  CHECK_EQUAL(1U, Fleet.NoHolder);
  CHECK_EQUAL(0U, Fleet.Exceeded);
}

TEST(Allotment, beyondTheLimitRequestsAreRefusedAtOnce) {
  test_fleet Fleet(1, {.TokensPerSecond = 10, .Burst = 10});
  Fleet.Now = 10'000;
  Fleet.exchange(0, false, 0);
  for (int Request = 0; Request < 30; ++Request)
    Fleet.arrive(0);
  Fleet.exchange(0, false, 0);
  // The burst, the overage, and the part of the tolerance that is saved up.
  CHECK_EQUAL(19U, Fleet.Used.size());
  CHECK_EQUAL(11U, Fleet.Exceeded);
  Fleet.arrive(0);
  CHECK_EQUAL(12U, Fleet.Exceeded);
}

// Guards against tokens that outlive the time in which the holder counts them.
TEST(Allotment, aStalledEntryDoesNotUseItsTokens) {
  allotment_client Client(milliseconds(500));
  allotment_holder Holder;
  CHECK_FALSE(
      Client
          .ask({.Ticket = 1, .Account = "a", .GivenUpAt = at(9'000)}, at(1'000))
          .has_value());
  const auto Request = Client.takeRequest(at(1'000));
  const allotment_reply Reply = replyOf(Holder, *Request, 1'001);
  CHECK_EQUAL(0U, Client.answer(Reply, at(1'500)).size());
  CHECK_TRUE(Client.takeRequest(at(1'500)).has_value());
}

// Guards against tokens that are lost with requests that were refused for
// another reason.
TEST(Allotment, anUnusedTokenServesTheNextRequestUntilItExpires) {
  allotment_client Client(milliseconds(500));
  Client.giveBack("a", at(1'400), at(1'000));
  Client.giveBack("a", at(1'300), at(1'000));
  const auto First = Client.ask(
      {.Ticket = 1, .Account = "a", .GivenUpAt = at(2'000)}, at(1'350));
  CHECK_TRUE(First && First->ExpiresAt == at(1'400));
  CHECK_FALSE(
      Client
          .ask({.Ticket = 2, .Account = "a", .GivenUpAt = at(2'000)}, at(1'350))
          .has_value());
}

// A lower limit binds within a window; a higher one at once.
TEST(Allotment, limitsChangeWhileTokensAreHeld) {
  test_fleet Fleet(3, {.TokensPerSecond = 100, .Burst = 100});
  const auto Run = [&Fleet](std::int64_t UntilMs) {
    for (; Fleet.Now < UntilMs; Fleet.Now += 5) {
      for (std::size_t Entry = 0; Entry < 3; ++Entry) {
        Fleet.arrive(Entry);
        Fleet.exchange(Entry, false, 0);
      }
    }
  };
  Run(10'000);
  const limit Lower{.TokensPerSecond = 10, .Burst = 5};
  Fleet.setLimit(Lower);
  Fleet.Used.clear();
  Run(20'000);
  CHECK_TRUE(static_cast<double>(Fleet.mostInAWindow()) <= bound(Lower));
  Fleet.setLimit({.TokensPerSecond = 100, .Burst = 100});
  Fleet.Used.clear();
  Run(25'000);
  CHECK_TRUE(Fleet.Used.size() >= 480);
}
