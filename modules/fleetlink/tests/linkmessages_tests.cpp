// Encoding of the messages between processes.

#include "fulmar/fleetlink/linkmessages.h"
#include "fulmar/testing/property.h"

using namespace fulmar;
using namespace fulmar::fleetlink;

TEST_GROUP(LinkMessages){};

TEST(LinkMessages, everyKindSurvivesItsEncoding) {
  const link_message Messages[] = {
      entry_notice{.Report = {.Id = "e", .Address = "10.0.0.1:80"},
                   .Ready = true},
      entry_alive{},
      fetch_request{.Since = 7},
      fetch_reply{{.Since = 1,
                   .Until = 2,
                   .Digest = 3,
                   .Items = {{.Key = "k", .Serial = 2, .Value = "v"}}}},
      log_notice{.Latest = 9, .ProofAgeMs = 12},
      control_notice{.DataCentre = "pos", .Controls = {"10.0.0.1:1"}},
      crash_notice{{.Fingerprint = "f", .Target = "t", .Incarnation = "1"}},
      log_message{.From = "a", .Bytes = std::string("\0b", 2)},
      join_request{.Id = "c"},
      call_request{.From = "a",
                   .Id = 4,
                   .Call = leader_call::ReadDocument,
                   .Command = "x"},
      call_reply{.Id = 4, .Succeeded = false, .ErrorKind = 3, .Message = "m"},
      liveness_notice{.Targets = {"t"}},
  };
  for (const link_message &Message : Messages) {
    const auto Read = decodeLink(encodeLink(Message));
    CHECK_TRUE(Read.has_value());
    CHECK_TRUE(Read.value() == Message);
  }
}

TEST(LinkMessages, whateverArrivesIsReadOrRefused) {
  testing::checkProperty("bytes", [](const std::string &Bytes) {
    const auto Read = decodeLink(Bytes);
    if (Read.has_value())
      RC_ASSERT(!encodeLink(Read.value()).empty());
  });
}
