// CPU and memory costs of the target owner and the share view. Run with -ri -g
// DirectoryCosts.

#include "fulmar/directory/shareview.h"
#include "fulmar/directory/targetowner.h"
#include "fulmar/testing/property.h"

#include "published.h"

#include <malloc.h>

#include <cstdio>
#include <ctime>

using namespace fulmar::directory;
using namespace fulmar::base;
using std::chrono::milliseconds;

namespace {

constexpr int EntryCount = 20;
constexpr int Rounds = 200;
const service_name Service("s");

std::size_t heapBytes() { return mallinfo2().uordblks; }

double cpuMicroseconds() {
  return 1e6 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::string entryName(int Index) { return "entry-" + std::to_string(Index); }

/// A cluster of twenty entries, the first of which owns as many targets as a
/// benchmark needs.
struct costs_fixture {
  instant Now{std::chrono::seconds(100)};
  ownership Ownership{{.Self = instance_id(entryName(0)), .Incarnation = "1"}};
  freshness Freshness{std::chrono::seconds(4)};

  costs_fixture() {
    fulmar::publication::published_items Items;
    for (int Index = 0; Index < EntryCount; ++Index) {
      Items.put("member/" + entryName(Index),
                textOf(entryAt(entryName(Index), "dc")),
                static_cast<fulmar::publication::serial>(Index) + 1);
    }
    Ownership.onMembership(viewOf(Items), {}, Now);
    Now += std::chrono::seconds(5);
    Freshness.onAnswer(Now, duration(0));
  }

  [[nodiscard]] std::vector<announcement> ownTargets(int Count) const {
    std::vector<announcement> Targets;
    for (int Number = 0; static_cast<int>(Targets.size()) < Count; ++Number) {
      announcement Announced{.Id =
                                 target_id("target-" + std::to_string(Number)),
                             .Service = Service,
                             .DataCentre = data_centre_name("dc"),
                             .Address = "10.0.0.9:80",
                             .Incarnation = "incarnation",
                             .State = target_state::Warm,
                             .Slots = 4,
                             .MaxInFlight = 4};
      if (Ownership.owns(Announced.Id, Announced.DataCentre))
        Targets.push_back(Announced);
    }
    return Targets;
  }

  /// Simulates a quarter of a second: an announcement of every target and a
  /// request of every entry.
  void round(target_owner &Owner, std::vector<announcement> &Targets,
             std::uint64_t Sequence) {
    Now += milliseconds(250);
    Freshness.onAnswer(Now, duration(0));
    Owner.tick(Now);
    for (announcement &Announced : Targets)
      Owner.onAnnouncement(Announced, Now);
    for (int Index = 0; Index < EntryCount; ++Index) {
      const share_request Request{.Entry = instance_id(entryName(Index)),
                                  .Incarnation = "1",
                                  .Sequence = Sequence,
                                  .Applied = Sequence - 1,
                                  .SentAt = Now.time_since_epoch(),
                                  .Demands = {{Service, 4}}};
      Granted += Owner.onShareRequest(Request, Now).value().Grants.size();
    }
  }

  std::size_t Granted = 0;
};

} // namespace

TEST_GROUP(DirectoryCosts){};

IGNORE_TEST(DirectoryCosts, ownerPerTargetAndEntry) {
  for (const int Count : {4, 64, 512}) {
    costs_fixture Fixture;
    auto Targets = Fixture.ownTargets(Count);
    const std::size_t Before = heapBytes();
    target_owner Owner({}, Fixture.Ownership, Fixture.Freshness);
    std::uint64_t Sequence = 0;
    for (int Round = 0; Round < 20; ++Round)
      Fixture.round(Owner, Targets, ++Sequence);
    const std::size_t Held = heapBytes() - Before;
    const double Start = cpuMicroseconds();
    for (int Round = 0; Round < Rounds; ++Round)
      Fixture.round(Owner, Targets, ++Sequence);
    const double Spent = cpuMicroseconds() - Start;
    std::printf("owner: %d targets, %d entries: %zu bytes a target, %.2f us "
                "a target and request\n",
                Count, EntryCount, Held / Targets.size(),
                Spent / Rounds / EntryCount / Count);
    CHECK(Fixture.Granted > 0);
  }
}

IGNORE_TEST(DirectoryCosts, shareViewPerGrant) {
  for (const int Count : {4, 64, 512}) {
    costs_fixture Fixture;
    const std::size_t Before = heapBytes();
    const instance_id Owner(entryName(0));
    share_view View({.Self = instance_id("e"), .Incarnation = "1"},
                    Fixture.Ownership, Fixture.Freshness);
    share_answer Answer;
    for (const announcement &Announced : Fixture.ownTargets(Count))
      Answer.Grants.push_back({.Target = Announced.Id,
                               .Service = Service,
                               .DataCentre = Announced.DataCentre,
                               .Address = Announced.Address,
                               .Incarnation = Announced.Incarnation,
                               .Granted = 1});
    std::size_t Usable = 0;
    const double Start = cpuMicroseconds();
    for (int Round = 0; Round < Rounds; ++Round) {
      Answer.Sequence = View.nextRequest(Owner, {}, Fixture.Now).Sequence;
      View.onAnswer(Owner, Answer, Fixture.Now);
      Usable += View.candidates(Service, Fixture.Now).size();
    }
    const double Spent = cpuMicroseconds() - Start;
    std::printf("share view: %d grants: %zu bytes a grant, %.2f us a grant "
                "and answer\n",
                Count, (heapBytes() - Before) / static_cast<std::size_t>(Count),
                Spent / Rounds / Count);
    CHECK(Usable == static_cast<std::size_t>(Count * Rounds));
  }
}
