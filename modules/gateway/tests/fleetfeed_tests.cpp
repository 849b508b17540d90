// Which control instance an entry fetches from, and when.

#include "fulmar/gateway/fleetfeed.h"
#include "fulmar/testing/property.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

namespace {

/// A control instance that answers fetch requests and counts them.
class test_control {
public:
  test_control(eventloop::loop &Loop, std::string ListenAddress,
               std::string InDataCentre, std::vector<std::string> Listed)
      : Address(std::move(ListenAddress)), DataCentre(std::move(InDataCentre)),
        All(std::move(Listed)), Server(Loop) {
    Items.put("target/a", "x", 7);
    CHECK_TRUE(Server.start(Address, [this](const auto &Link) { accept(Link); })
                   .has_value());
  }

  [[nodiscard]] const std::string &dataCentre() const { return DataCentre; }
  [[nodiscard]] int fetchRequests() const { return FetchRequests; }
  [[nodiscard]] int crashNotices() const { return CrashNotices; }
  /// Confirms crash reports from now on.
  void confirmCrashes() { ConfirmsCrashes = true; }
  /// Marks its state as confirmed by a quorum and notifies the connected
  /// entries.
  void confirmByQuorum() {
    QuorumConfirmed = true;
    for (const auto &Link : Links)
      sendLogNotice(*Link);
  }

private:
  void accept(const std::shared_ptr<eventloop::frame_link> &Link) {
    Links.push_back(Link);
    Link->start(
        [this, Raw = Link.get()](std::string_view Frame) {
          const auto Message = fleetlink::decodeLinkMessage(Frame);
          if (Message)
            onCrashNotice(*Raw, Message.value());
          if (!Message || !std::holds_alternative<fleetlink::fetch_request>(
                              Message.value()))
            return;
          ++FetchRequests;
          Raw->send(fleetlink::encodeLinkMessage(
              fleetlink::fetch_reply{Items.changesSince(0)}));
        },
        [] {});
    Link->send(fleetlink::encodeLinkMessage(
        fleetlink::control_plane_members{DataCentre, All}));
    sendLogNotice(*Link);
  }

  void onCrashNotice(eventloop::frame_link &Link,
                     const fleetlink::link_message &Message) {
    const auto *Crash = std::get_if<fleetlink::crash_notification>(&Message);
    if (Crash == nullptr)
      return;
    ++CrashNotices;
    if (ConfirmsCrashes)
      Link.send(
          fleetlink::encodeLinkMessage(fleetlink::notification_ack{Crash->Id}));
  }

  void sendLogNotice(eventloop::frame_link &Link) const {
    Link.send(fleetlink::encodeLinkMessage(fleetlink::log_position{
        .Latest = 7, .ProofAgeMs = QuorumConfirmed ? 0 : -1}));
  }

  std::string Address;
  std::string DataCentre;
  std::vector<std::string> All;
  eventloop::frame_server Server;
  std::vector<std::shared_ptr<eventloop::frame_link>> Links;
  publication::published_items Items;
  int FetchRequests = 0;
  int CrashNotices = 0;
  bool ConfirmsCrashes = false;
  bool QuorumConfirmed = false;
};

constexpr const char *OnlyAddress = "127.0.0.1:18590";

bool runUntil(eventloop::loop &Loop, base::duration Limit,
              const std::function<bool()> &Done) {
  const base::instant End = Loop.now() + Limit;
  while (!Done() && Loop.now() < End)
    Loop.context().run_one_for(milliseconds(5));
  return Done();
}

} // namespace

TEST_GROUP(FleetFeed) {
  eventloop::loop Loop;
  int Views = 0;

  std::unique_ptr<fleet_feed> feed(const std::string &Id,
                                   std::vector<std::string> Seeds) {
    return std::make_unique<fleet_feed>(
        Loop,
        fleet_feed_options{
            .Self = {.Id = Id, .Incarnation = "any", .DataCentre = "pos"},
            .Seeds = std::move(Seeds)},
        [this](const fleet_view &) { ++Views; });
  }
};

// After a power failure of all machines, hundreds of entries without any state
// fetch everything at the same time, and all know the same seeds.
TEST(FleetFeed,
     newEntriesSpreadTheirFirstFetchOverTheInstancesOfTheirDataCentre) {
  std::vector<std::string> Addresses;
  for (int Number = 0; Number < 6; ++Number)
    Addresses.push_back("127.0.0.1:1859" + std::to_string(Number));
  std::vector<std::unique_ptr<test_control>> Controls;
  for (std::size_t Number = 0; Number < Addresses.size(); ++Number)
    Controls.push_back(std::make_unique<test_control>(
        Loop, Addresses[Number], Number % 2 == 0 ? "pos" : "arima", Addresses));
  for (const auto &Control : Controls)
    Control->confirmByQuorum();
  constexpr int Entries = 30;
  std::vector<std::unique_ptr<fleet_feed>> Feeds;
  for (int Number = 0; Number < Entries; ++Number)
    Feeds.push_back(feed("entry-" + std::to_string(Number),
                         {Addresses[1], Addresses[3], Addresses[5]}));
  CHECK_TRUE(runUntil(Loop, std::chrono::seconds(3),
                      [this] { return Views == Entries; }));
  int LocalRequests = 0;
  for (const auto &Control : Controls) {
    LocalRequests +=
        Control->dataCentre() == "pos" ? Control->fetchRequests() : 0;
    CHECK_TRUE(Control->fetchRequests() <= Entries / 2);
  }
  // Instances are left out only if an entry reaches them too late.
  CHECK_TRUE(LocalRequests >= Entries * 2 / 3);
}

// All instances restart together. Until a leader is elected, a control instance
// holds its last snapshot, which may contain routes and targets that were
// withdrawn since. A starting entry must not take it for the current state.
TEST(FleetFeed, aStartingEntryWaitsForACopyConfirmedByAQuorum) {
  test_control Control(Loop, OnlyAddress, "pos", {OnlyAddress});
  const auto Feed = feed("e", {OnlyAddress});
  CHECK_FALSE(runUntil(Loop, milliseconds(500), [this] { return Views > 0; }));
  CHECK_EQUAL(0, Control.fetchRequests());
  Control.confirmByQuorum();
  CHECK_TRUE(runUntil(Loop, milliseconds(200), [this] { return Views > 0; }));
}

TEST(FleetFeed, withoutAQuorumAStartingEntryUsesAnUnconfirmedCopy) {
  test_control Control(Loop, OnlyAddress, "pos", {OnlyAddress});
  const auto Feed = feed("e", {OnlyAddress});
  CHECK_TRUE(runUntil(Loop, milliseconds(2'500), [this] { return Views > 0; }));
}

// A message that is sent once is lost in a network partition, an election or a
// restart of an instance.
TEST(FleetFeed, aCrashIsReportedUntilAnInstanceHasCountedIt) {
  test_control Control(Loop, OnlyAddress, "pos", {OnlyAddress});
  Control.confirmByQuorum();
  const auto Feed = feed("e", {OnlyAddress});
  CHECK_TRUE(runUntil(Loop, milliseconds(500), [this] { return Views > 0; }));
  Feed->reportCrash({.Fingerprint = "f", .Target = "t", .Incarnation = "1"});
  CHECK_TRUE(runUntil(Loop, milliseconds(1'500),
                      [&Control] { return Control.crashNotices() > 1; }));
  Control.confirmCrashes();
  const int Notices = Control.crashNotices() + 1;
  CHECK_TRUE(runUntil(Loop, milliseconds(1'000),
                      [&] { return Control.crashNotices() == Notices; }));
  CHECK_FALSE(runUntil(Loop, milliseconds(1'000),
                       [&] { return Control.crashNotices() > Notices; }));
}
