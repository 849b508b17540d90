// The router under random sequences of events, against a plain count of what
// it granted: never above the grant, one answer for each waiter, at most once.

#include "fulmar/routing/ipickstrategy.h"
#include "fulmar/routing/router.h"
#include "fulmar/routing/verdict.h"
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

/// A caller's request through all of its attempts.
struct story {
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
    windDown();
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
      answered(Router.tick(Now));
      break;
    case 2:
      cancelOne();
      break;
    case 3:
    case 4:
      finishOne(static_cast<attempt_end>(draw(7)));
      break;
    default:
      ask({.Request = newRequest()});
    }
  }

  request_profile newRequest() {
    return {.Service = Registry,
            .Idempotent = draw(2) == 0,
            .Replayable = draw(4) != 0,
            .Deadline = Now + milliseconds(draw(200)),
            .Priority = static_cast<std::uint8_t>(draw(3)),
            .RetryOfCaller = draw(5) == 0};
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
    answered(Router.candidatesChanged(Registry, List, Now));
  }

  void ask(story Story) {
    const acquire_result Result =
        Router.acquire(Story.Request, Story.Attempts, Now);
    answered(Result.Others);
    if (const auto *Permit = std::get_if<permit>(&Result.Answer))
      grantedTo(*Permit, std::move(Story));
    else if (const auto *Wait = std::get_if<queued>(&Result.Answer))
      RC_ASSERT(Waiting.emplace(Wait->Ticket, std::move(Story)).second);
    else
      refusedTo(std::get<base::error_kind>(Result.Answer), Story);
  }

  void answered(const std::vector<ticket_answer> &Answers) {
    for (const ticket_answer &Answer : Answers) {
      auto Node = Waiting.extract(Answer.Ticket);
      RC_ASSERT(!Node.empty());
      if (const auto *Permit = std::get_if<permit>(&Answer.Answer))
        grantedTo(*Permit, std::move(Node.mapped()));
      else
        refusedTo(std::get<base::error_kind>(Answer.Answer), Node.mapped());
    }
  }

  void grantedTo(const permit &Permit, story Story) {
    const base::target_id &Target = Permit.Target.Target;
    RC_ASSERT(++InFlight[Target] <= Granted[Target]);
    RC_ASSERT(Now < Story.Request.Deadline);
    RC_ASSERT(Story.Request.Idempotent || provedNotRun(Story.Attempts));
    RC_ASSERT(Running.emplace(Permit.Id, std::pair(Permit, Story)).second);
  }

  static void refusedTo(base::error_kind Kind, const story &Story) {
    const bool SaysNotRun =
        base::answerOf(Kind).Execution == base::execution::NotRun;
    RC_ASSERT(SaysNotRun == provedNotRun(Story.Attempts));
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
    auto &[Permit, Story] = Node.mapped();
    Story.Attempts.push_back({.Target = Permit.Target.Target,
                              .Incarnation = draw(4) == 0 ? "other" : "",
                              .BytesSent = draw(2) == 0,
                              .End = End,
                              .Status = draw(2) == 0 ? 200 : 503,
                              .Elapsed = milliseconds(draw(100))});
    --InFlight[Permit.Target.Target];
    answered(Router.finish(Permit, Story.Attempts.back(), Story.Request, Now));
    // A permit is given back once only.
    RC_ASSERT(Router.finish(Permit, Story.Attempts.back(), Story.Request, Now)
                  .empty());
    if (End != attempt_end::Answered)
      ask(std::move(Story));
  }

  void windDown() {
    Now += seconds(10);
    answered(Router.tick(Now));
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
  std::map<ticket_id, story> Waiting;
  std::map<std::uint64_t, std::pair<permit, story>> Running;
};

} // namespace

TEST_GROUP(RouterProperty){};

TEST(RouterProperty, holdsUnderRandomEvents) {
  fulmar::testing::checkProperty(
      "grants, answers and at most once",
      [](std::uint64_t Seed) { router_model(Seed).run(400); });
}
