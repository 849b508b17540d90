// Which entries an entry without contact to targets asks, and how often.

#include "fulmar/placement/relayselector.h"

#include <CppUTest/TestHarness.h>

#include <functional>

using namespace fulmar;
using namespace fulmar::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// \p Count entries in two data centres, by turns.
std::vector<relay_peer> peers(int Count) {
  std::vector<relay_peer> Peers;
  for (int Number = 0; Number < Count; ++Number)
    Peers.push_back({.Id = "e" + std::to_string(Number),
                     .DataCentre = Number % 2 == 0 ? "pos" : "chag",
                     .Address = "10.0.0.1:" + std::to_string(Number + 1)});
  return Peers;
}

} // namespace

TEST_GROUP(RelaySelector) {
  base::instant Now{seconds(100)};

  relay_selector selectorOf(const std::string &Self, int Count) {
    relay_selector Selector;
    Selector.setPeers(std::make_shared<const std::vector<relay_peer>>(
        relayOrder({.Id = Self, .DataCentre = "pos"}, peers(Count))));
    return Selector;
  }

  /// Tries peers for one request; returns the one that serves, or nothing.
  std::optional<std::string> serve(
      relay_selector & Selector, int MaxTries,
      const std::function<bool(const std::string &)> &Serves, int &Tries) {
    std::set<std::string> Tried;
    for (int Try = 0; Try < MaxTries; ++Try) {
      const auto Peer = Selector.pick(Tried, Now);
      if (!Peer)
        return std::nullopt;
      ++Tries;
      Tried.insert(Peer->Id);
      if (Serves(Peer->Id)) {
        Selector.recordServed(Peer->Id);
        return Peer->Id;
      }
      Selector.recordUseless(Peer->Id, Now);
    }
    return std::nullopt;
  }
};

TEST(RelaySelector, neverPicksTheEntryItself) {
  const auto Order = relayOrder({.Id = "e0", .DataCentre = "pos"}, peers(10));
  CHECK_EQUAL(9U, Order.size());
  for (const relay_peer &Peer : Order)
    CHECK_TRUE(Peer.Id != "e0");
}

TEST(RelaySelector, requestsStayInTheirRegion) {
  auto Peers = peers(10);
  Peers[3].Region = "elsewhere";
  const auto Order = relayOrder({.Id = "e0", .DataCentre = "pos"}, Peers);
  CHECK_EQUAL(8U, Order.size());
}

TEST(RelaySelector, staysWithAnEntryThatServes) {
  relay_selector Selector = selectorOf("e0", 20);
  int Tries = 0;
  const auto Yes = [](const std::string &) { return true; };
  const auto First = serve(Selector, 4, Yes, Tries);
  CHECK_TRUE(First.has_value());
  for (int Request = 0; Request < 10; ++Request)
    CHECK_TRUE(serve(Selector, 4, Yes, Tries) == First);
}

TEST(RelaySelector, spreadsConcurrentRequestsOverSeveral) {
  relay_selector Selector = selectorOf("e0", 20);
  std::map<std::string, int> Sent;
  for (int Request = 0; Request < 30; ++Request) {
    const auto Peer = Selector.pick({}, Now);
    CHECK_TRUE(Peer.has_value());
    Selector.requestSent(Peer->Id);
    Selector.recordServed(Peer->Id);
    ++Sent[Peer->Id];
  }
  CHECK_EQUAL(3U, Sent.size());
  for (const auto &[Id, Count] : Sent)
    CHECK_EQUAL(10, Count);
}

// Of 200 entries, only a tenth has contact.
TEST(RelaySelector, findsOneOfTheFewThatAreLeft) {
  int Found = 0;
  for (int Self = 0; Self < 50; ++Self) {
    relay_selector Selector = selectorOf("e" + std::to_string(Self), 200);
    int Tries = 0;
    const auto Serves = [](const std::string &Id) { return Id.back() == '9'; };
    for (int Request = 0; Request < 6; ++Request, Now += milliseconds(100)) {
      if (serve(Selector, 4, Serves, Tries)) {
        ++Found;
        break;
      }
    }
  }
  CHECK_TRUE(Found >= 40);
}

TEST(RelaySelector, entriesPreferDifferentRelays) {
  std::map<std::string, int> Chosen;
  for (int Self = 0; Self < 100; ++Self) {
    relay_selector Selector = selectorOf("e" + std::to_string(Self), 200);
    int Tries = 0;
    const auto Serves = [](const std::string &Id) { return Id.back() == '9'; };
    for (int Request = 0; Request < 30; ++Request, Now += milliseconds(500)) {
      if (const auto Relay = serve(Selector, 4, Serves, Tries)) {
        ++Chosen[*Relay];
        break;
      }
    }
  }
  // 20 relays for 100 entries.
  for (const auto &[Id, Count] : Chosen)
    CHECK_TRUE(Count <= 20);
}

// All entries of a fleet are cut off: they must not flood each other.
TEST(RelaySelector, triesAreBoundedWhenNobodyServes) {
  relay_selector Selector = selectorOf("e0", 200);
  int Tries = 0;
  const auto No = [](const std::string &) { return false; };
  for (int Request = 0; Request < 1'000; ++Request, Now += milliseconds(10))
    CHECK_FALSE(serve(Selector, 4, No, Tries).has_value());
  CHECK_TRUE(Tries <= 24 + 8 * 10 + 1);
}

TEST(RelaySelector, anEntryThatStopsServingIsReplaced) {
  relay_selector Selector = selectorOf("e0", 20);
  int Tries = 0;
  std::string Lost;
  const auto Serves = [&Lost](const std::string &Id) { return Id != Lost; };
  Lost = *serve(Selector, 4, Serves, Tries);
  const auto Next = serve(Selector, 4, Serves, Tries);
  CHECK_TRUE(Next.has_value() && *Next != Lost);
}

TEST(RelaySelector, withoutOtherEntriesThereIsNothingToPick) {
  relay_selector Alone = selectorOf("e0", 1);
  CHECK_FALSE(Alone.pick({}, Now).has_value());
  relay_selector Unset;
  CHECK_FALSE(Unset.pick({}, Now).has_value());
}
