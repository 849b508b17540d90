// Tests of the JSON encoding, including the rejection of malformed messages
// with every fault named, and of the views derived from published items.

#include "fulmar/directory/membership.h"
#include "fulmar/directory/parentselector.h"
#include "fulmar/directory/sharetypes.h"
#include "fulmar/testing/property.h"

#include "published.h"

using namespace fulmar::directory;
using namespace fulmar::base;
using std::chrono::milliseconds;

namespace {

const announcement Example{.Id = target_id("t"),
                           .Service = service_name("s"),
                           .DataCentre = data_centre_name("dc"),
                           .Address = "10.0.0.1:80",
                           .Incarnation = "i1",
                           .State = target_state::Warm,
                           .Slots = 2,
                           .Connections = 340,
                           .MaxInFlight = 2,
                           .Load = 0.5,
                           .InFlight = 1,
                           .Sequence = 9};

const share_request Request{
    .Entry = instance_id("e"),
    .Incarnation = "p",
    .Sequence = 4,
    .Applied = 3,
    .SentAt = milliseconds(12),
    .Demands = {{service_name("s"), 3}},
    .InFlight = {{target_id("t"), "i1", 2}},
    .Observations = {
        {target_id("t"), "i1", observation_kind::IncarnationDiffers, "i2"}}};

const share_answer Answer{.Sequence = 4,
                          .Grants = {{.Target = target_id("t"),
                                      .Service = service_name("s"),
                                      .DataCentre = data_centre_name("dc"),
                                      .Address = "10.0.0.1:80",
                                      .Incarnation = "i1",
                                      .State = target_state::Cold,
                                      .Granted = 1,
                                      .Load = 0.25,
                                      .ReportAge = milliseconds(7)}}};

/// Returns \p Json with a random value anywhere in it replaced by an invalid
/// one.
Json::Value damaged(Json::Value Json) {
  static const std::vector<Json::Value> WrongValues = {
      Json::Value(),
      Json::Value(-1),
      Json::Value(1e300),
      Json::Value("?"),
      Json::Value(""),
      Json::Value(true),
      Json::Value(Json::arrayValue),
      Json::Value(Json::objectValue)};
  Json::Value *Position = &Json;
  while (!Position->empty() && (Position->isObject() || Position->isArray())) {
    const int Index = *rc::gen::inRange(0, static_cast<int>(Position->size()));
    Position = Position->isArray()
                   ? &(*Position)[Index]
                   : &(*Position)[Position->getMemberNames()[Index]];
    if (*rc::gen::inRange(0, 3) == 0)
      break;
  }
  *Position = *rc::gen::elementOf(WrongValues);
  return Json;
}

membership viewWith(const std::vector<member> &Members,
                    const std::string &Out = "") {
  fulmar::publication::published_items Items;
  fulmar::publication::serial Serial = 0;
  for (const member &Member : Members)
    Items.put("member/" + Member.Id.str(), textOf(Member), ++Serial);
  Items.put("member/broken", "{", ++Serial);
  if (!Out.empty())
    Items.put("data-centre/" + Out, R"({"state":"out"})", ++Serial);
  return membership::fromItems(Items);
}

} // namespace

TEST_GROUP(DirectoryTypes){};

TEST(DirectoryTypes, encodingRoundTrips) {
  CHECK(announcementFromJson(toJson(Example)).value() == Example);
  CHECK(shareRequestFromJson(toJson(Request)).value() == Request);
  CHECK(shareAnswerFromJson(toJson(Answer)).value() == Answer);
  const member Member = entryAt("a", "dc");
  CHECK(memberFromJson(toJson(Member)).value() == Member);
}

TEST(DirectoryTypes, everyFaultIsReported) {
  Json::Value Json = toJson(Example);
  Json["load"] = 1.5;
  Json["state"] = "hot";
  Json["address"] = "nowhere";
  Json.removeMember("slots");
  const auto Read = announcementFromJson(Json);
  CHECK(Read.error().Kind == error_kind::BadRequest);
  for (const char *Part : {"load", "state", "address", "slots"})
    CHECK_TEXT(Read.error().Message.find(std::string("announcement.") + Part) !=
                   std::string::npos,
               Part);
}

TEST(DirectoryTypes, damagedMessagesAreRejected) {
  fulmar::testing::checkProperty("damaged messages", [] {
    const auto Announced = announcementFromJson(damaged(toJson(Example)));
    const auto Asked = shareRequestFromJson(damaged(toJson(Request)));
    const auto Answered = shareAnswerFromJson(damaged(toJson(Answer)));
    for (const bool Refused : {!Announced || Announced.value() != Example,
                               !Asked || Asked.value() != Request,
                               !Answered || Answered.value() != Answer})
      RC_ASSERT(Refused);
  });
}

TEST_GROUP(Membership){};

TEST(Membership, skipsUnreadableItems) {
  const membership View = viewWith({entryAt("a", "x")});
  CHECK_EQUAL(1, View.members().size());
  CHECK_EQUAL(1, View.faults().size());
}

TEST(Membership, callersGetTheNearestEntriesInServiceFirst) {
  const membership View =
      viewWith({entryAt("a", "x"), entryAt("b", "y"), entryAt("c", "z"),
                stopping(entryAt("d", "y"))},
               "z");
  const std::vector<data_centre_name> Nearest = {data_centre_name("y"),
                                                 data_centre_name("x")};
  const auto Found = View.entriesForCallers(service_name("s"), Nearest, 1);
  CHECK_EQUAL(2, Found.size());
  STRCMP_EQUAL("b", Found[0].Id.str().c_str());
  STRCMP_EQUAL("a", Found[1].Id.str().c_str());
}

TEST(Membership, parentsFormNoCycle) {
  const membership View =
      viewWith({entryAt("a", "x"), entryAt("b", "x"), entryAt("c", "x"),
                entryAt("d", "y"), entryAt("e", "y"), entryAt("f", "z")});
  std::size_t Roots = 0;
  for (const member &Member : View.members()) {
    const auto Parents = View.parentsOf(Member.Id);
    Roots += Parents.empty() ? 1 : 0;
    std::size_t Depth = 0;
    for (auto Up = Parents; !Up.empty(); Up = View.parentsOf(Up.front().Id))
      CHECK(++Depth <= 2);
  }
  CHECK_EQUAL(1, Roots);
}

TEST_GROUP(ParentSelector){};

TEST(ParentSelector, skipsParentsThatFailOrLag) {
  parent_selector Choice(parent_selector_options{});
  Choice.setParents({"relay", "control"});
  instant Now{std::chrono::seconds(9)};
  STRCMP_EQUAL("relay", Choice.current(Now).c_str());
  Choice.onAnswer("relay", milliseconds(2001), Now);
  STRCMP_EQUAL("control", Choice.current(Now).c_str());
  Now += milliseconds(10);
  Choice.onFailure("control", Now);
  STRCMP_EQUAL("relay", Choice.current(Now).c_str());
  Choice.onAnswer("relay", milliseconds(5), Now);
  STRCMP_EQUAL("relay", Choice.current(Now).c_str());
}
