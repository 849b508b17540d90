// Tests of the published items. The differential test compares a replica that
// merges changes at random times with a std::map of the latest values.

#include "fulmar/publication/publisheditems.h"
#include "fulmar/testing/property.h"

#include <map>

using namespace fulmar::publication;

namespace {

using reference_map = std::map<std::string, std::string>;

reference_map contents(const published_items &Items) {
  reference_map Map;
  for (const item &Item : Items.withPrefix(""))
    Map[Item.Key] = Item.Value;
  return Map;
}

} // namespace

TEST_GROUP(PublishedItems){};

TEST(PublishedItems, replicaConvergesToReferenceMap) {
  fulmar::testing::checkProperty("holder equals plain map", [] {
    published_items Source;
    published_items Replica;
    reference_map Reference;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 4)));
    serial Serial = 0;
    for (const auto &[Key, Value] : Steps) {
      const std::string Name = "section/" + std::to_string(Key);
      const std::string Text = Value == 0 ? "" : std::to_string(Value);
      Source.put(Name, Text, ++Serial);
      if (Text.empty())
        Reference.erase(Name);
      else
        Reference[Name] = Text;
      if (*rc::gen::inRange(0, 3) == 0)
        RC_ASSERT(
            Replica.merge(Source.changesSince(Replica.latest())).has_value());
    }
    RC_ASSERT(Replica.merge(Source.changesSince(Replica.latest())).has_value());
    RC_ASSERT(contents(Replica) == Reference);
    RC_ASSERT(contents(Source) == Reference);
    RC_ASSERT(Replica.digest() == Source.digest());
  });
}

TEST(PublishedItems, fullCopyRecoversFromCorruptedChanges) {
  published_items Source;
  published_items Replica;
  Source.put("section/a", "1", 1);
  CHECK(Replica.merge(Source.changesSince(0)).has_value());
  Source.put("section/b", "2", 2);
  changes Damaged = Source.changesSince(Replica.latest());
  Damaged.Items.front().Value = "3";
  CHECK(!Replica.merge(Damaged).has_value());
  CHECK(!Replica.value("section/b").has_value());
  CHECK(Replica.merge(Source.changesSince(0)).has_value());
  CHECK(Replica.digest() == Source.digest());
}

TEST(PublishedItems, rejectedChangesHaveNoEffect) {
  fulmar::testing::checkProperty("refused change", [] {
    published_items Source;
    published_items Replica;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3)));
    serial Serial = 0;
    const auto Apply = [&Source, &Serial](const std::pair<int, int> &Step) {
      Source.put("target/" + std::to_string(Step.first),
                 Step.second == 0 ? "" : std::to_string(Step.second), ++Serial);
    };
    Source.put("plan", "p", ++Serial);
    for (std::size_t Index = 0; Index < Steps.size() / 2; ++Index)
      Apply(Steps[Index]);
    RC_ASSERT(Replica.merge(Source.changesSince(0)).has_value());
    const changes Before = Replica.changesSince(0);
    for (std::size_t Index = Steps.size() / 2; Index < Steps.size(); ++Index)
      Apply(Steps[Index]);
    Source.put("plan", "q", ++Serial);
    changes Damaged = Source.changesSince(Replica.latest());
    ++Damaged.Digest;
    RC_ASSERT(!Replica.merge(Damaged).has_value());
    RC_ASSERT(Replica.changesSince(0) == Before);
    --Damaged.Digest;
    RC_ASSERT(Replica.merge(Damaged).has_value());
    RC_ASSERT(Replica.changesSince(0) == Source.changesSince(0));
  });
}

TEST(PublishedItems, ignoresOlderChanges) {
  published_items Source;
  published_items Replica;
  Source.put("section/a", "1", 1);
  const changes Old = Source.changesSince(0);
  Source.put("section/a", "2", 2);
  CHECK(Replica.merge(Source.changesSince(0)).has_value());
  CHECK(Replica.merge(Old).has_value());
  STRCMP_EQUAL("2", Replica.value("section/a")->c_str());
}

// Guards against needless full copies on slow links: if a reply takes longer
// than the timeout, the request is sent again, and the second reply overlaps
// with the first one.
TEST(PublishedItems, appliesNewPartOfOverlappingChanges) {
  published_items Source;
  published_items Replica;
  Source.put("section/a", "1", 1);
  CHECK(Replica.merge(Source.changesSince(0)).has_value());
  Source.put("section/b", "2", 2);
  const changes First = Source.changesSince(1);
  Source.put("section/b", "3", 3);
  Source.put("section/a", "", 4);
  const changes Second = Source.changesSince(1);
  CHECK(Replica.merge(First).has_value());
  CHECK(Replica.merge(Second).has_value());
  CHECK(Replica.merge(Second).has_value());
  CHECK(Replica.changesSince(0) == Source.changesSince(0));
}

TEST(PublishedItems, jsonRoundTrip) {
  published_items Source;
  Source.put("section/a", "{\"x\":1}", 7);
  const changes Changes = Source.changesSince(0);
  CHECK(changesFromJson(toJson(Changes)).value() == Changes);
  CHECK(!changesFromJson(Json::Value("text")).has_value());
}
