// An entry's view follows the published items, and only changed items are
// decoded.

#include "fulmar/gateway/viewdecoder.h"
#include "fulmar/testing/property.h"

using namespace fulmar;
using namespace fulmar::gateway;

TEST_GROUP(ViewDecoder) {
  publication::published_items Items;
  publication::serial Serial = 0;
  view_decoder Decoder;

  void putTarget(const std::string &Id,
                 fleet::target_phase Phase = fleet::target_phase::Serving) {
    Items.put(publication::TargetPrefix + Id,
              fleet::encodeTarget({.Id = Id,
                                   .Service = "s",
                                   .DataCentre = "pos",
                                   .Address = "127.0.0.1:1",
                                   .Phase = Phase}),
              ++Serial);
  }
  void putPlan(std::uint64_t Version) {
    Items.put(publication::PlanKey,
              fleet::encodePlan(fleet::routing_plan{.Version = Version}),
              ++Serial);
  }
  void putDataCentre(const std::string &State) {
    Items.put(std::string(publication::DataCentrePrefix) + "pos",
              "{\"state\":\"" + State + "\"}", ++Serial);
  }
};

TEST(ViewDecoder, onlyChangedItemsAreDecoded) {
  constexpr std::size_t Targets = 300;
  putPlan(1);
  for (std::size_t Number = 0; Number < Targets; ++Number) {
    putTarget("t" + std::to_string(Number));
    LONGS_EQUAL(Number + 1, Decoder.decode(Items).Targets.size());
  }
  LONGS_EQUAL(Targets + 1, Decoder.decodedCount());
}

TEST(ViewDecoder, targetsAreUpdatedWithTheirItems) {
  putTarget("a");
  putTarget("b");
  LONGS_EQUAL(2, Decoder.decode(Items).Targets.size());
  putTarget("a", fleet::target_phase::Draining);
  LONGS_EQUAL(1, Decoder.decode(Items).Targets.size());
  putTarget("a");
  LONGS_EQUAL(2, Decoder.decode(Items).Targets.size());
  Items.put(std::string(publication::TargetPrefix) + "b", "", ++Serial);
  LONGS_EQUAL(1, Decoder.decode(Items).Targets.size());
  putTarget("b");
  LONGS_EQUAL(2, Decoder.decode(Items).Targets.size());
}

TEST(ViewDecoder, targetsOfADrainedDataCentreAreLeftOut) {
  putTarget("a");
  putDataCentre("out");
  LONGS_EQUAL(0, Decoder.decode(Items).Targets.size());
  putDataCentre("in");
  LONGS_EQUAL(1, Decoder.decode(Items).Targets.size());
}

TEST(ViewDecoder, anOlderPlanIsIgnored) {
  CHECK_TRUE(Decoder.decode(Items).Plan == nullptr);
  putPlan(5);
  LONGS_EQUAL(5, Decoder.decode(Items).Plan->Version);
  putPlan(4);
  LONGS_EQUAL(5, Decoder.decode(Items).Plan->Version);
  putPlan(6);
  LONGS_EQUAL(6, Decoder.decode(Items).Plan->Version);
}

// Configurations of a thousand routes in quick succession, each of which
// changes one route.
TEST(ViewDecoder, onlyTheChangedRouteOfAPlanIsDecoded) {
  constexpr std::size_t Routes = 1'000;
  const auto PutRoute = [this](std::size_t Number, std::int64_t TimeoutMs) {
    const std::string Path = "/r" + std::to_string(Number) + "/";
    Items.put(publication::RoutePrefix + std::string("h") + Path,
              fleet::encodeRoute({.Name = "r" + std::to_string(Number),
                                  .Host = "h",
                                  .PathPrefix = Path,
                                  .TimeoutMs = TimeoutMs}),
              ++Serial);
  };
  for (std::size_t Number = 0; Number < Routes; ++Number)
    PutRoute(Number, 100);
  putPlan(1);
  LONGS_EQUAL(Routes, Decoder.decode(Items).Plan->Routes.size());
  const std::size_t Before = Decoder.decodedCount();
  PutRoute(7, 200);
  putPlan(2);
  const auto Plan = Decoder.decode(Items).Plan;
  LONGS_EQUAL(Before + 2, Decoder.decodedCount());
  LONGS_EQUAL(2, Plan->Version);
  LONGS_EQUAL(Routes, Plan->Routes.size());
  Items.put(publication::RoutePrefix + std::string("h/r3/"), "", ++Serial);
  putPlan(3);
  LONGS_EQUAL(Routes - 1, Decoder.decode(Items).Plan->Routes.size());
}

TEST(ViewDecoder, aMalformedTargetIsLeftOut) {
  putTarget("a");
  Items.put(std::string(publication::TargetPrefix) + "b", "no msgpack",
            ++Serial);
  LONGS_EQUAL(1, Decoder.decode(Items).Targets.size());
  LONGS_EQUAL(1, Decoder.decode(Items).Targets.size());
  LONGS_EQUAL(2, Decoder.decodedCount());
}

TEST(ViewDecoder, entriesThatAcceptRequestsOfOthersAreListedUntilTheyLeave) {
  const auto PutMember = [this](const std::string &Id,
                                const std::string &Address) {
    Items.put(std::string(publication::MemberPrefix) + Id,
              "{\"id\":\"" + Id +
                  "\",\"incarnation\":\"any\",\"data_centre\":\"pos\","
                  "\"region\":\"tt\",\"address\":\"10.0.0.1:80\","
                  "\"rpc_address\":\"" +
                  Address + "\",\"stopping\":false}",
              ++Serial);
  };
  PutMember("e1", "10.0.0.1:81");
  PutMember("e2", "");
  const auto First = Decoder.decode(Items).Relays;
  LONGS_EQUAL(1, First->size());
  CHECK_TRUE(First->front() ==
             (placement::relay_peer{.Id = "e1",
                                    .DataCentre = "pos",
                                    .Region = "tt",
                                    .Address = "10.0.0.1:81"}));
  putTarget("a");
  CHECK_TRUE(Decoder.decode(Items).Relays == First);
  PutMember("e2", "10.0.0.2:81");
  LONGS_EQUAL(2, Decoder.decode(Items).Relays->size());
  Items.put(std::string(publication::MemberPrefix) + "e1", "", ++Serial);
  LONGS_EQUAL(1, Decoder.decode(Items).Relays->size());
}
