// Property test of the router under random sequences of events: requests in
// flight never exceed the grant, every waiter gets exactly one result, and
// requests that are not idempotent run at most once.

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

/// A request with all of its attempts.
struct request_history {
  request_profile Request;
  std::vector<attempt> Attempts;
};

class router_model {
public:
  explicit router_model(std::uint64_t Seed)
      : Random(Seed), Router({.Seed = Seed}) {
    const auto Names = strategyNames();
    Policy.Strategy = Names[draw(Names.size())];
    Policy.QueueLength = static_cast<std::uint32_t>(draw(6));
    Policy.QueueTime = milliseconds(draw(50));
    Policy.OwnDataCentre = base::data_centre_name(draw(2) == 0 ? "" : "dc0");
    RC_ASSERT(Router.setPolicy(Registry, Policy).has_value());
  }

  void run(int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      Now += milliseconds(draw(20));
      step();
      RC_ASSERT(Router.waiting() <= Policy.QueueLength);
      RC_ASSERT(Router.demand(Registry) == Running.size() + Waiting.size());
    }
    finishAll();
  }

private:
  std::size_t draw(std::size_t Bound) {
    return absl::Uniform<std::size_t>(Random, 0, Bound);
  }

  void step() {
    switch (draw(8)) {
    case 0:
      changeCandidates();
      break;
    case 1:
      handleResults(Router.tick(Now));
      break;
    case 2:
      cancelOne();
      break;
    case 3:
    case 4:
      finishOne(static_cast<attempt_end>(draw(7)));
      break;
    default:
      acquirePermit({.Request = newRequest()});
    }
  }

  request_profile newRequest() {
    return {.Service = Registry,
            .Idempotent = draw(2) == 0,
            .Replayable = draw(4) != 0,
            .Deadline = Now + milliseconds(draw(200)),
            .Priority = static_cast<std::uint8_t>(draw(3)),
            .MarkedAsRetry = draw(5) == 0};
  }

  void changeCandidates() {
    std::vector<candidate> List;
    Granted.clear();
    for (std::size_t Number = 0; Number < 4; ++Number) {
      const std::string Name = "t" + std::to_string(Number);
      if (draw(4) == 0)
        continue;
      const auto Grant = static_cast<std::uint32_t>(draw(4));
      Granted[base::target_id(Name)] = Grant;
      List.push_back({.Target = base::target_id(Name),
                      .DataCentre = base::data_centre_name(
                          "dc" + std::to_string(Number % 2)),
                      .Incarnation = std::to_string(draw(3)),
                      .Granted = Grant});
    }
    handleResults(Router.candidatesChanged(Registry, List, Now));
  }

  void acquirePermit(request_history History) {
    const acquire_result Result =
        Router.acquire(History.Request, History.Attempts, Now);
    handleResults(Result.OtherResults);
    if (const auto *Permit = std::get_if<permit>(&Result.Answer))
      checkGrant(*Permit, std::move(History));
    else if (const auto *Wait = std::get_if<queued>(&Result.Answer))
      RC_ASSERT(Waiting.emplace(Wait->Ticket, std::move(History)).second);
    else
      checkRefusal(std::get<base::error_kind>(Result.Answer), History);
  }

  void handleResults(const std::vector<ticket_result> &Answers) {
    for (const ticket_result &Answer : Answers) {
      auto Node = Waiting.extract(Answer.Ticket);
      RC_ASSERT(!Node.empty());
      if (const auto *Permit = std::get_if<permit>(&Answer.Answer))
        checkGrant(*Permit, std::move(Node.mapped()));
      else
        checkRefusal(std::get<base::error_kind>(Answer.Answer), Node.mapped());
    }
  }

  void checkGrant(const permit &Permit, request_history History) {
    const base::target_id &Target = Permit.Target.Target;
    RC_ASSERT(++InFlight[Target] <= Granted[Target]);
    RC_ASSERT(Now < History.Request.Deadline);
    RC_ASSERT(History.Request.Idempotent || provedNotRun(History.Attempts));
    RC_ASSERT(Running.emplace(Permit.Id, std::pair(Permit, History)).second);
  }

  static void checkRefusal(base::error_kind Kind,
                           const request_history &History) {
    const bool SaysNotRun =
        base::answerOf(Kind).Execution == base::execution::NotRun;
    RC_ASSERT(SaysNotRun == provedNotRun(History.Attempts));
  }

  void cancelOne() {
    if (Waiting.empty())
      return;
    Router.cancel(Registry, Waiting.begin()->first);
    Waiting.erase(Waiting.begin());
  }

  void finishOne(attempt_end End) {
    if (Running.empty())
      return;
    auto Node = Running.extract(std::next(
        Running.begin(), static_cast<std::ptrdiff_t>(draw(Running.size()))));
    auto &[Permit, History] = Node.mapped();
    History.Attempts.push_back({.Target = Permit.Target.Target,
                                .Incarnation = draw(4) == 0 ? "other" : "",
                                .BytesSent = draw(2) == 0,
                                .End = End,
                                .Status = draw(2) == 0 ? 200 : 503,
                                .Elapsed = milliseconds(draw(100))});
    --InFlight[Permit.Target.Target];
    handleResults(
        Router.finish(Permit, History.Attempts.back(), History.Request, Now));
    // Returning a permit twice has no effect.
    RC_ASSERT(
        Router.finish(Permit, History.Attempts.back(), History.Request, Now)
            .empty());
    if (End != attempt_end::Answered)
      acquirePermit(std::move(History));
  }

  void finishAll() {
    Now += seconds(10);
    handleResults(Router.tick(Now));
    RC_ASSERT(Waiting.empty());
    while (!Running.empty())
      finishOne(attempt_end::Answered);
    RC_ASSERT(Router.demand(Registry) == 0U);
    RC_ASSERT(Router.inFlight(Registry).empty());
  }

  base::random_source Random;
  router Router;
  routing_policy Policy;
  base::instant Now{seconds(100)};
  std::map<base::target_id, std::uint32_t> Granted;
  std::map<base::target_id, std::uint32_t> InFlight;
  std::map<ticket_id, request_history> Waiting;
  std::map<std::uint64_t, std::pair<permit, request_history>> Running;
};

} // namespace

TEST_GROUP(RouterProperty){};

TEST(RouterProperty, invariantsHoldUnderRandomEvents) {
  fulmar::testing::checkProperty(
      "grants, answers and at most once",
      [](std::uint64_t Seed) { router_model(Seed).run(400); });
}
