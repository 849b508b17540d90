// Tests of the entry's side: which grants become candidates, and when they
// expire.

#include "fulmar/directory/shareview.h"
#include "fulmar/testing/property.h"

#include "published.h"

using namespace fulmar::directory;
using namespace fulmar::base;
using fulmar::publication::published_items;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const service_name Service("s");
const target_id Target("t");
const instance_id OwnerId("o");

struct view_fixture : public Utest {
  instant Now{seconds(100)};
  published_items Items;
  ownership Ownership{{.Self = instance_id("e"), .Incarnation = "1"}};
  freshness Freshness{seconds(4)};
  share_view View{
      {.Self = instance_id("e"), .Incarnation = "1"}, Ownership, Freshness};
  fulmar::publication::serial Serial = 0;

  view_fixture() {
    publishMember("o", "dc");
    Freshness.onAnswer(Now, duration(0));
  }

  void publish(const std::string &Key, const std::string &Value) {
    Items.put(Key, Value, ++Serial);
    Ownership.onMembership(viewOf(Items), {}, Now);
  }

  void publishMember(const std::string &Id, const std::string &DataCentre) {
    publish("member/" + Id, textOf(entryAt(Id, DataCentre)));
  }

  share_request nextRequest(const router_counters &Counters = {}) {
    return View.nextRequest(OwnerId, Counters, Now);
  }

  void answer(std::uint64_t Sequence, std::uint32_t Granted) {
    View.onAnswer(OwnerId,
                  {.Sequence = Sequence,
                   .Grants = {{.Target = Target,
                               .Service = Service,
                               .DataCentre = data_centre_name("dc"),
                               .Address = "10.0.0.9:80",
                               .Incarnation = "i1",
                               .Granted = Granted}}},
                  Now);
  }

  std::uint32_t granted() {
    const auto Usable = View.candidates(Service, Now);
    return Usable.empty() ? 0 : Usable.front().Granted;
  }
};

} // namespace

TEST_GROUP_BASE(ShareView, view_fixture){};

TEST(ShareView, aGrantExpiresRelativeToItsRequest) {
  const share_request Request = nextRequest();
  Now += milliseconds(500);
  answer(Request.Sequence, 3);
  CHECK_EQUAL(3, granted());
  Now += milliseconds(399);
  CHECK_EQUAL(3, granted());
  Now += milliseconds(1);
  CHECK_EQUAL(0, granted());
  CHECK(View.candidates(service_name("other"), Now).empty());
}

TEST(ShareView, outdatedAndUnrequestedAnswersAreIgnored) {
  const share_request First = nextRequest();
  const share_request Second = nextRequest();
  answer(Second.Sequence, 2);
  answer(First.Sequence, 5);
  answer(Second.Sequence + 9, 7);
  CHECK_EQUAL(2, granted());
  CHECK_EQUAL(Second.Sequence, nextRequest().Applied);
  View.onAnswer(OwnerId, {.Sequence = Second.Sequence + 1}, Now);
  CHECK_EQUAL(0, granted());
}

TEST(ShareView, withoutARecentProofThereAreNoCandidates) {
  Now += seconds(4);
  answer(nextRequest().Sequence, 3);
  CHECK_EQUAL(3, granted());
  Now += milliseconds(1);
  CHECK_EQUAL(0, granted());
}

TEST(ShareView, aDataCentreOutOfServiceHasNoCandidates) {
  answer(nextRequest().Sequence, 3);
  publish("data-centre/dc", R"({"state":"out"})");
  CHECK_EQUAL(0, granted());
  publish("data-centre/dc", R"({"state":"in"})");
  CHECK_EQUAL(3, granted());
}

TEST(ShareView, grantsOfAnEarlierOwnerEndWithItsView) {
  answer(nextRequest().Sequence, 3);
  publish("member/o", "");
  publishMember("n", "dc");
  CHECK_EQUAL(0, granted());
}

TEST(ShareView, anAnomalyRemovesTheGrantAndIsReportedUntilAnswered) {
  answer(nextRequest().Sequence, 3);
  const share_request Before = nextRequest();
  Now += milliseconds(10);
  View.reportAnomaly(Target, "i1", observation_kind::Reset, Now);
  CHECK_EQUAL(0, granted());
  // The owner answered before it was informed of the reset.
  answer(Before.Sequence, 3);
  CHECK_EQUAL(0, granted());
  Now += milliseconds(10);
  CHECK_EQUAL(1, nextRequest().Observations.size());
  const share_request Again = nextRequest();
  CHECK_EQUAL(1, Again.Observations.size());
  answer(Again.Sequence, 1);
  CHECK_EQUAL(1, granted());
  CHECK(nextRequest().Observations.empty());
}

TEST(ShareView, anotherIncarnationInAResponseIsReportedToTheOwner) {
  answer(nextRequest().Sequence, 3);
  View.reportIncarnation(Target, "i1", "i1", Now);
  CHECK_EQUAL(3, granted());
  View.reportIncarnation(Target, "i1", "i2", Now);
  CHECK_EQUAL(0, granted());
  const observation Reported = nextRequest().Observations.at(0);
  CHECK(Reported.Kind == observation_kind::IncarnationDiffers);
  STRCMP_EQUAL("i2", Reported.SeenIncarnation.c_str());
}

TEST(ShareView, requestsInFlightAreReportedToTheOwnerAndItsSuccessor) {
  answer(nextRequest().Sequence, 3);
  publishMember("n", "dc");
  const router_counters Counters{.InFlight = {{Target, "i1", 2}}};
  publish("member/o", "");
  CHECK_EQUAL(1, nextRequest(Counters).InFlight.size());
  CHECK_EQUAL(
      1, View.nextRequest(instance_id("n"), Counters, Now).InFlight.size());
  CHECK(View.nextRequest(instance_id("x"), Counters, Now).InFlight.empty());
}
