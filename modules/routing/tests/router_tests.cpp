// Tests of the router: queueing, retries, hedges, connection failures, data
// centres and removed services.

#include "fulmar/routing/ipickstrategy.h"
#include "fulmar/routing/retrydecision.h"
#include "fulmar/routing/router.h"
#include "fulmar/testing/property.h"

#include <algorithm>
#include <map>
#include <set>

using namespace fulmar;
using namespace fulmar::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::service_name Registry("registry");

base::instant at(std::chrono::microseconds Time) {
  return base::instant(seconds(100) + Time);
}

candidate candidateOf(const std::string &Name, std::uint32_t Granted,
                      const std::string &Incarnation = "1") {
  return {.Target = base::target_id(Name),
          .Address = "10.0.0.1:80",
          .DataCentre = base::data_centre_name("pos"),
          .Incarnation = Incarnation,
          .Granted = Granted};
}

request_profile requestOf(bool Idempotent = true) {
  return {.Service = Registry,
          .Idempotent = Idempotent,
          .Replayable = true,
          .Deadline = at(seconds(60))};
}

attempt endOf(const permit &Permit, attempt_end End, int Status = 0) {
  return {.Target = Permit.Target.Target,
          .Incarnation =
              End == attempt_end::Answered ? Permit.Target.Incarnation : "",
          .BytesSent = End != attempt_end::NotConnected,
          .End = End,
          .Status = Status,
          .Elapsed = milliseconds(5)};
}

permit granted(const acquire_result &Result) {
  CHECK_TEXT(std::holds_alternative<permit>(Result.Answer), "not granted");
  return std::get<permit>(Result.Answer);
}

base::error_kind refused(const acquire_result &Result) {
  CHECK_TEXT(std::holds_alternative<base::error_kind>(Result.Answer),
             "not refused");
  return std::get<base::error_kind>(Result.Answer);
}

} // namespace

TEST_GROUP(Router) {
  router Router{{.Seed = 1}};
  void setup() override { CHECK(Router.setPolicy(Registry, {}).has_value()); }
};

TEST(Router, unknownServiceAndStrategyAreRefused) {
  request_profile Request = requestOf();
  Request.Service = base::service_name("other");
  CHECK(refused(Router.acquire(Request, {}, at(seconds(0)))) ==
        base::error_kind::UnknownService);
  CHECK(!Router.setPolicy(Registry, {.Strategy = "none"}).has_value());
}

TEST(Router, waitsForTheFirstCandidates) {
  const auto Result = Router.acquire(requestOf(), {}, at(seconds(0)));
  CHECK(std::holds_alternative<queued>(Result.Answer));
  CHECK(Router.demand(Registry) == 1);
  const auto Answers =
      Router.candidatesChanged(Registry, {candidateOf("a", 1)}, at(seconds(0)));
  CHECK(Answers.size() == 1);
  CHECK(std::holds_alternative<permit>(Answers.front().Answer));
}

TEST(Router, expiredWaitReportsReason) {
  Router.acquire(requestOf(), {}, at(seconds(0)));
  const auto Answers = Router.tick(at(milliseconds(501)));
  CHECK(Answers.size() == 1);
  CHECK(std::get<base::error_kind>(Answers.front().Answer) ==
        base::error_kind::NoTarget);
}

TEST(Router, nonIdempotentRequestIsNotRetriedAfterBrokenAttempt) {
  Router.candidatesChanged(Registry, {candidateOf("a", 2), candidateOf("b", 2)},
                           at(seconds(0)));
  const request_profile Request = requestOf(false);
  const permit First = granted(Router.acquire(Request, {}, at(seconds(0))));
  const std::vector<attempt> Earlier = {endOf(First, attempt_end::Broken)};
  Router.finish(First, Earlier.front(), Request, at(seconds(0)));
  CHECK(refused(Router.acquire(Request, Earlier, at(seconds(0)))) ==
        base::error_kind::OutcomeUnknown);
}

TEST(Router, retryGoesToAnotherTarget) {
  Router.candidatesChanged(Registry, {candidateOf("a", 2), candidateOf("b", 2)},
                           at(seconds(0)));
  for (int Number = 0; Number < 20; ++Number) {
    const permit First =
        granted(Router.acquire(requestOf(), {}, at(seconds(0))));
    const std::vector<attempt> Earlier = {endOf(First, attempt_end::TimedOut)};
    const permit Second =
        granted(Router.acquire(requestOf(), Earlier, at(seconds(0))));
    CHECK(First.Target.Target != Second.Target.Target);
    Router.finish(First, endOf(First, attempt_end::Answered, 200), requestOf(),
                  at(seconds(0)));
    Router.finish(Second, endOf(Second, attempt_end::Answered, 200),
                  requestOf(), at(seconds(0)));
    if (Number >= 9)
      return;
  }
}

TEST(Router, hedgeDoesNotWait) {
  Router.candidatesChanged(Registry, {candidateOf("a", 1)}, at(seconds(0)));
  const permit First = granted(Router.acquire(requestOf(), {}, at(seconds(0))));
  const std::vector<attempt> Earlier = {endOf(First, attempt_end::TimedOut)};
  CHECK(refused(Router.acquire(requestOf(), Earlier, at(seconds(0)))) ==
        base::error_kind::TargetTimeout);
  CHECK(Router.waiting() == 0);
}

TEST(Router, closedIdleConnectionDoesNotSuspendTarget) {
  Router.candidatesChanged(Registry, {candidateOf("a", 2)}, at(seconds(0)));
  const permit First = granted(Router.acquire(requestOf(), {}, at(seconds(0))));
  attempt Closed = endOf(First, attempt_end::Broken);
  Closed.BytesSent = false;
  Router.finish(First, Closed, requestOf(), at(seconds(0)));
  granted(Router.acquire(requestOf(false), std::vector<attempt>{Closed},
                         at(seconds(0))));
}

TEST(Router, brokenConnectionSuspendsTarget) {
  Router.candidatesChanged(Registry, {candidateOf("a", 2)}, at(seconds(0)));
  const permit First = granted(Router.acquire(requestOf(), {}, at(seconds(0))));
  Router.finish(First, endOf(First, attempt_end::Broken), requestOf(),
                at(seconds(0)));
  CHECK(Router.takeObservations() ==
        std::vector<observation>({{.Target = base::target_id("a"),
                                   .Incarnation = "1",
                                   .Kind = observation_kind::Reset,
                                   .SeenIncarnation = ""}}));
  const auto Waiting = Router.acquire(requestOf(), {}, at(milliseconds(1)));
  CHECK(std::holds_alternative<queued>(Waiting.Answer));
  const auto Answers = Router.candidatesChanged(
      Registry, {candidateOf("a", 1, "2")}, at(milliseconds(2)));
  CHECK(Answers.size() == 1);
}

TEST(Router, incarnationChangeInResponseStopsRequests) {
  Router.candidatesChanged(Registry, {candidateOf("a", 2)}, at(seconds(0)));
  const permit First = granted(Router.acquire(requestOf(), {}, at(seconds(0))));
  attempt Outcome = endOf(First, attempt_end::Answered, 200);
  Outcome.Incarnation = "2";
  Router.finish(First, Outcome, requestOf(), at(seconds(0)));
  const auto Later = Router.acquire(requestOf(), {}, at(seconds(10)));
  CHECK(std::holds_alternative<queued>(Later.Answer));
  const auto Answers = Router.candidatesChanged(
      Registry, {candidateOf("a", 1, "2")}, at(seconds(10)));
  CHECK(Answers.size() == 1);
}

TEST(Router, prefersNearDataCentreUntilItIsBusy) {
  CHECK(
      Router
          .setPolicy(Registry, {.OwnDataCentre = base::data_centre_name("pos"),
                                .SpillOverUtilisation = 0.75})
          .has_value());
  candidate Far = candidateOf("far", 4);
  Far.DataCentre = base::data_centre_name("chag");
  Router.candidatesChanged(Registry, {candidateOf("near", 4), Far},
                           at(seconds(0)));
  for (int Number = 0; Number < 3; ++Number)
    STRCMP_EQUAL("near",
                 granted(Router.acquire(requestOf(), {}, at(seconds(0))))
                     .Target.Target.str()
                     .c_str());
  std::set<std::string> Used;
  for (int Number = 0; Number < 5; ++Number)
    Used.insert(granted(Router.acquire(requestOf(), {}, at(seconds(0))))
                    .Target.Target.str());
  CHECK(Used.contains("far"));
}

TEST(Router, removedServiceIsCountedUntilItsRequestsEnd) {
  Router.candidatesChanged(Registry, {candidateOf("a", 1)}, at(seconds(0)));
  const permit First = granted(Router.acquire(requestOf(), {}, at(seconds(0))));
  Router.acquire(requestOf(), {}, at(seconds(0)));
  CHECK(Router.removeService(Registry).size() == 1);
  CHECK(refused(Router.acquire(requestOf(), {}, at(seconds(0)))) ==
        base::error_kind::UnknownService);
  Router.tick(at(seconds(1)));
  CHECK(Router.demand(Registry) == 1);
  Router.finish(First, endOf(First, attempt_end::Answered, 200), requestOf(),
                at(seconds(1)));
  Router.tick(at(seconds(1)));
  CHECK(Router.inFlight(Registry).empty());
}

TEST(Router, retryDoesNotWaitForEjectedTarget) {
  const std::vector<candidate> Listed = {
      candidateOf("a", 8), candidateOf("b", 8), candidateOf("c", 8),
      candidateOf("d", 8)};
  Router.candidatesChanged(Registry, Listed, at(seconds(0)));
  std::vector<attempt> Tried;
  for (const char *Name : {"a", "b", "c"})
    Tried.push_back({.Target = base::target_id(Name),
                     .BytesSent = true,
                     .End = attempt_end::Refused});
  for (int Number = 0; Number < 200; ++Number) {
    const permit Permit =
        granted(Router.acquire(requestOf(), {}, at(milliseconds(Number))));
    const bool Bad = Permit.Target.Target.str() == "d";
    Router.finish(Permit, endOf(Permit, attempt_end::Answered, Bad ? 500 : 200),
                  requestOf(), at(milliseconds(Number)));
  }
  CHECK(Router.targets(Registry).back().State == target_health_state::Ejected);
  const permit Again =
      granted(Router.acquire(requestOf(), Tried, at(milliseconds(200))));
  CHECK(Again.Target.Target.str() != "d");
}
