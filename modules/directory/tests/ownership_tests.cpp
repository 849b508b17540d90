// No two instances act as owner of one target at the same time, however late
// each of them learns what the control instances decided.

#include "fulmar/directory/ownership.h"
#include "fulmar/testing/property.h"

#include <json/writer.h>

#include <algorithm>
#include <random>

using namespace fulmar::directory;
using namespace fulmar::base;
using fulmar::publication::published_items;
using std::chrono::milliseconds;

namespace {

constexpr duration Permission = milliseconds(4000);

std::string memberJson(const std::string &Id, const std::string &Incarnation,
                       const std::string &DataCentre, bool Stopping = false) {
  return Json::writeString(
      Json::StreamWriterBuilder(),
      toJson(member{.Id = instance_id(Id),
                    .Incarnation = Incarnation,
                    .DataCentre = data_centre_name(DataCentre),
                    .Address = "10.0.0.1:80",
                    .RpcAddress = "10.0.0.1:81",
                    .Stopping = Stopping}));
}

/// One instance that learns of views late.
struct learner {
  std::string Id;
  std::string DataCentre;
  published_items Items;
  freshness Freshness{Permission};
  ownership Ownership;
  instant CutUntil{};

  learner(const std::string &Name, const std::string &Place)
      : Id(Name), DataCentre(Place), Ownership({.Self = instance_id(Name),
                                                .Incarnation = "1",
                                                .Handover = Permission}) {}

  void learn(const published_items &Source, instant Asked, duration Age,
             instant Now) {
    const auto Before = Items.latest();
    if (!Items.merge(Source.changesSince(Before)).has_value())
      return;
    if (Items.latest() != Before)
      Ownership.onMembership(
          std::make_shared<const membership>(membership::fromItems(Items)),
          changesSince(Items, Before), Now);
    Freshness.onAnswer(Asked, Age);
  }
};

struct snapshot {
  instant At{};
  published_items Items;
};

/// Members come and go while instances are cut off or served by a control
/// instance that lags. Returns the time at which two act; 0 if never.
class random_history {
public:
  explicit random_history(std::uint64_t Seed) : Random(Seed) {
    for (const auto &[Id, Place] :
         {std::pair("a", "dc0"), {"b", "dc0"}, {"c", "dc1"}, {"d", "dc1"}})
      Learners.emplace_back(Id, Place);
    for (const learner &Learner : Learners)
      put(Learner, true);
  }

  bool holds() {
    for (int Round = 0; Round < 400; ++Round) {
      Now += milliseconds(below(400));
      if (below(6) == 0)
        put(Learners[below(4)], below(3) > 0);
      if (below(8) == 0)
        Learners[below(4)].CutUntil = Now + milliseconds(below(9000));
      for (learner &Learner : Learners)
        sync(Learner);
      if (!atMostOneActs())
        return false;
    }
    return true;
  }

private:
  int below(int Limit) {
    return std::uniform_int_distribution(0, Limit - 1)(Random);
  }

  void put(const learner &Learner, bool Present) {
    published_items Items =
        History.empty() ? published_items() : History.back().Items;
    Items.put(
        "member/" + Learner.Id,
        Present ? memberJson(Learner.Id, "1", Learner.DataCentre, below(4) == 0)
                : "",
        ++Serial);
    History.push_back({Now, Items});
  }

  void sync(learner &Learner) {
    if (Now < Learner.CutUntil || below(3) == 0)
      return;
    // The question was sent a little ago and answered from a state that a
    // quorum stood behind some time before.
    const instant Asked = Now - milliseconds(below(300));
    const duration Age = milliseconds(below(5) == 0 ? below(3000) : 0);
    const instant Proved = Asked - Age;
    const auto Later = std::find_if(
        History.rbegin(), History.rend(),
        [&](const snapshot &Snapshot) { return Snapshot.At <= Proved; });
    if (Later != History.rend())
      Learner.learn(Later->Items, Asked, Age, Now);
  }

  bool atMostOneActs() {
    for (int Target = 0; Target < 6; ++Target) {
      const target_id Id("t" + std::to_string(Target));
      const data_centre_name Place(Target % 3 == 0   ? "dc0"
                                   : Target % 3 == 1 ? "dc1"
                                                     : "dc2");
      const auto Acting = std::count_if(
          Learners.begin(), Learners.end(), [&](const learner &Learner) {
            return Learner.Ownership.mayAct(Id, Place, Learner.Freshness, Now);
          });
      if (Acting > 1)
        return false;
    }
    return true;
  }

  std::mt19937_64 Random;
  instant Now{std::chrono::seconds(100)};
  fulmar::publication::serial Serial = 0;
  std::vector<snapshot> History;
  std::vector<learner> Learners;
};

} // namespace

TEST_GROUP(Ownership){};

TEST(Ownership, neverTwoInstancesAct) {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed)
    CHECK_TEXT(random_history(Seed).holds(),
               ("seed " + std::to_string(Seed)).c_str());
}

TEST(Ownership, aGainedTargetWaitsAndAKeptOneContinues) {
  learner One("a", "dc0");
  published_items Control;
  Control.put("member/a", memberJson("a", "1", "dc0"), 1);
  instant Now{std::chrono::seconds(10)};
  const target_id Target("t");
  const data_centre_name Place("dc0");
  const auto Acts = [&] {
    return One.Ownership.mayAct(Target, Place, One.Freshness, Now);
  };
  One.learn(Control, Now, duration(0), Now);
  CHECK(One.Ownership.owns(Target, Place));
  CHECK_FALSE(Acts());
  Now += Permission;
  One.learn(Control, Now, duration(0), Now);
  CHECK_FALSE(Acts());
  Now += milliseconds(1);
  CHECK(Acts());
  // A member elsewhere changes nothing here.
  Control.put("member/c", memberJson("c", "1", "dc1"), 2);
  One.learn(Control, Now, duration(0), Now);
  CHECK(Acts());
  // Another incarnation under this id is not this process.
  Control.put("member/a", memberJson("a", "2", "dc0"), 3);
  One.learn(Control, Now, duration(0), Now);
  CHECK_FALSE(Acts());
}

TEST_GROUP(Freshness){};

TEST(Freshness, datesTheProofFromTheQuestionAndNeverGoesBack) {
  freshness Fresh(Permission);
  const instant Asked{std::chrono::seconds(50)};
  CHECK_FALSE(Fresh.mayStartWork(Asked));
  Fresh.onAnswer(Asked, milliseconds(1000));
  CHECK(Fresh.mayStartWork(Asked + milliseconds(3000)));
  CHECK_FALSE(Fresh.mayStartWork(Asked + milliseconds(3001)));
  Fresh.onAnswer(Asked, milliseconds(2000));
  CHECK(Fresh.age(Asked) == milliseconds(1000));
}
