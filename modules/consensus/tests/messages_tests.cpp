// Wire format: every message survives a round trip, truncated messages are
// rejected, and corrupted ones never crash the decoder.

#include "fulmar/consensus/messages.h"

#include "fulmar/testing/property.h"

using namespace fulmar::consensus;

namespace {

std::vector<message> samples() {
  const configuration Members{
      .Voters = {{"a", "1"}}, .Learners = {{"b", "2"}}, .Formed = true};
  const std::vector<message_body> Bodies = {
      vote_request{.LastIndex = 7, .LastTerm = 3, .PreVote = true},
      vote_response{.Granted = true},
      append_request{.PrevIndex = 7,
                     .PrevTerm = 3,
                     .Entries = {{8, 3, 1, std::string("x\0y", 3)}},
                     .Commit = 6,
                     .SentAt = -5},
      append_response{.Success = true, .MatchIndex = 8, .SentAt = 9},
      heartbeat_request{
          .FollowerStorageId = "1", .ProofRequestedAt = 5, .ProofAge = 4},
      heartbeat_response{.SentAt = 1, .ProofRequestedAt = 2},
      snapshot_request{.Index = 4, .Members = Members, .Data = "abc"},
      snapshot_response{.Index = 4, .Installed = true},
      timeout_now{},
      bootstrap_probe{},
      bootstrap_reply{}};
  std::vector<message> Messages;
  for (const message_body &Body : Bodies)
    Messages.push_back({"cluster", "a", "b", "disk", 3, Body});
  return Messages;
}

} // namespace

TEST_GROUP(Messages){};

TEST(Messages, roundTrip) {
  CHECK_EQUAL(std::variant_size_v<message_body>, samples().size());
  for (const message &Message : samples())
    CHECK(decodeMessage(encode(Message)).value() == Message);
}

TEST(Messages, truncatedBytesAreRejected) {
  for (const message &Message : samples()) {
    const std::string Bytes = encode(Message);
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      CHECK(!decodeMessage(Bytes.substr(0, Size)).has_value());
    CHECK(!decodeMessage(Bytes + "x").has_value());
  }
}

TEST(Messages, corruptedBytesDoNotCrash) {
  fulmar::testing::checkProperty("corrupted bytes don't crash the decoder", [] {
    std::string Bytes = encode(*rc::gen::elementOf(samples()));
    const auto Flips =
        *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, Bytes.size()),
                          rc::gen::arbitrary<char>()));
    for (const auto &[At, Value] : Flips)
      Bytes[At] = Value;
    (void)decodeMessage(Bytes);
    (void)decodeMessage(*rc::gen::arbitrary<std::string>());
  });
}
