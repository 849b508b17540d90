// Tests of the encoding of link messages.

#include "fulmar/fleetlink/linkmessages.h"
#include "fulmar/testing/property.h"

using namespace fulmar;
using namespace fulmar::fleetlink;

TEST_GROUP(LinkMessages){};

TEST(LinkMessages, encodingRoundTripsForEveryKind) {
  const link_message Messages[] = {
      entry_status{.Report = {.Id = "e", .Address = "10.0.0.1:80"},
                   .Ready = true},
      entry_heartbeat{},
      fetch_request{.Since = 7},
      fetch_reply{{.Since = 1,
                   .Until = 2,
                   .Digest = 3,
                   .Items = {{.Key = "k", .Serial = 2, .Value = "v"}}}},
      log_position{.Latest = 9, .ProofAgeMs = 12},
      control_plane_members{.DataCentre = "pos", .Controls = {"10.0.0.1:1"}},
      crash_notification{
          7, {.Fingerprint = "f", .Target = "t", .Incarnation = "1"}},
      notification_ack{7},
      answer_notification{8, {.Fingerprint = "f", .AgeMs = 9}},
      log_message{.From = "a", .Bytes = std::string("\0b", 2)},
      join_request{.Id = "c"},
      call_request{.From = "a",
                   .Id = 4,
                   .Call = leader_call::ReadDocument,
                   .Command = "x"},
      call_reply{.Id = 4, .Succeeded = false, .ErrorKind = 3, .Message = "m"},
      target_liveness{.Targets = {"t"}},
  };
  for (const link_message &Message : Messages) {
    const auto Decoded = decodeLinkMessage(encodeLinkMessage(Message));
    CHECK_TRUE(Decoded.has_value());
    CHECK_TRUE(Decoded.value() == Message);
  }
}

// When all entries start at once on slow links, each of them fetches the whole
// state.
TEST(LinkMessages, aCopyOfManyItemsIsCompressed) {
  fetch_reply Reply;
  std::size_t Bytes = 0;
  for (int Number = 0; Number < 500; ++Number) {
    const std::string Name = "target/i-" + std::to_string(Number);
    Reply.Changes.Items.push_back(
        {.Key = Name, .Serial = 7, .Value = Name + " of the same service"});
    Bytes += Name.size() + Reply.Changes.Items.back().Value.size();
  }
  const std::string Encoded = encodeLinkMessage(Reply);
  CHECK_TRUE(Encoded.size() < Bytes / 3);
  CHECK_TRUE(decodeLinkMessage(Encoded).value() == link_message(Reply));
  // Truncated, then corrupted in the middle.
  CHECK_FALSE(
      decodeLinkMessage(Encoded.substr(0, Encoded.size() / 2)).has_value());
  std::string Damaged = Encoded;
  Damaged[Damaged.size() / 2] ^= '\x55';
  const auto Decoded = decodeLinkMessage(Damaged);
  CHECK_TRUE(!Decoded.has_value() || Decoded.value() != link_message(Reply));
}

TEST(LinkMessages, arbitraryBytesAreDecodedOrRejected) {
  testing::checkProperty("bytes", [](const std::string &Bytes) {
    const auto Decoded = decodeLinkMessage(Bytes);
    if (Decoded.has_value())
      RC_ASSERT(!encodeLinkMessage(Decoded.value()).empty());
  });
}
