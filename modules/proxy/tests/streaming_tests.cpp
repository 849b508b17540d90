// Bodies of any size: bounded memory, and no cut transfer looks complete.

#include "frontfixture.h"

#include "fulmar/proxy/bodywriter.h"
#include "internal/bodytransfer.h"

#include <atomic>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace fulmar;
using namespace fulmar::proxy;
using namespace fulmar::proxy::tests;
using routing::attempt_end;

namespace {

constexpr std::size_t Large = 1000000;

/// Answers with \p Text and closes the connection.
fake_target::script cutting(const std::string &Text) {
  return fake_target::serving(
      [Text](connection &Peer, const received_request &) {
        sendText(Peer, Text);
        return false;
      });
}

std::string chunk(const std::string &Body) {
  body_writer Writer({.Kind = framing_kind::Chunked});
  return std::string(Writer.encode(Body));
}

const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

using connection_ptr = std::unique_ptr<connection>;

/// Both ends of one connection.
std::pair<connection_ptr, connection_ptr> connectedPair() {
  Poco::Net::ServerSocket Listening = wire::listenOn("127.0.0.1:0");
  auto Opened =
      connection::open(Listening.address().toString(), TestPatience).value();
  return {std::move(Opened),
          std::make_unique<connection>(Listening.acceptConnection())};
}

/// Peak resident memory of this process in KiB.
long peakKib() {
  std::ifstream Status("/proc/self/status");
  for (std::string Word; Status >> Word;)
    if (Word == "VmHWM:" && Status >> Word)
      return std::stol(Word);
  return 0;
}

} // namespace

TEST_GROUP(Streaming) {
  front_fixture Fixture;
  std::atomic<int> Uploads{0};
  std::atomic<int> CompleteUploads{0};
  std::atomic<std::uint64_t> Received{0};

  /// Counts uploads and how many of them looked complete.
  fake_target::script counting() {
    return fake_target::serving(
        [this](connection &Peer, const received_request &Request) {
          CompleteUploads += Request.State == body_state::End;
          Received += Request.Body.size();
          ++Uploads;
          sendText(Peer, fixedAnswer("ok"));
          return true;
        });
  }

  /// Sends \p Wire as an upload and closes the connection once the upload
  /// has reached \p Target.
  void sendAndClose(const std::string &Address, const fake_target &Target,
                    const std::string &Wire) {
    const int Before = Target.connections();
    test_caller Caller(Address);
    Caller.send("POST /s/x HTTP/1.1\r\nHost: t\r\n" + Wire);
    CHECK(eventually([&] { return Target.connections() > Before; }));
    Caller.close();
  }
};

TEST(Streaming, aCutSmallAnswerIsARefusalNotAnAnswer) {
  for (const std::string &Text :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
        ChunkedHead + chunk("half"), ChunkedHead + "4\r\nha",
        std::string("HTTP/1.1 200 OK\r\nContent-Le")}) {
    front_fixture Own;
    fake_target Target(cutting(Text));
    test_caller Caller(Own.start({Target.address()}));
    const auto Answer = Caller.post("/s/x", "fee");
    // A chunked answer may have begun already; then it must stay incomplete.
    if (Answer.status() == 200)
      CHECK(!Answer.complete());
    else
      LONGS_EQUAL(502, Answer.status());
    CHECK(!Answer.Head.has("Fulmar-Not-Run"));
  }
}

TEST(Streaming, aCutLargeAnswerBreaksTheCallersTransfer) {
  const std::string Part(Large / 2, 'p');
  for (const std::string &Text :
       {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Large) +
            "\r\n\r\n" + Part,
        ChunkedHead + chunk(Part), ChunkedHead + chunk(Part) + "0\r\n",
        ChunkedHead + chunk(Part) + "zz\r\n\r\n",
        ChunkedHead + chunk(Part) + "0\r\nX: y\r\n"}) {
    front_fixture Own;
    fake_target Target(cutting(Text));
    test_caller Caller(Own.start({Target.address()}));
    const auto Answer = Caller.get("/s/x");
    LONGS_EQUAL(200, Answer.status());
    CHECK(!Answer.complete());
    CHECK(eventually([&] { return Own.Router.open() == 0; }));
    CHECK(Own.Router.finished().back().End == attempt_end::Truncated);
    LONGS_EQUAL(0, Own.Pool.idle());
  }
}

TEST(Streaming, aCutAnswerOfAnIdempotentRequestIsFetchedAgain) {
  fake_target Cutting(
      cutting("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"));
  fake_target Whole(cutting(fixedAnswer("whole")));
  test_caller Caller(Fixture.start({Cutting.address(), Whole.address()}));
  STRCMP_EQUAL("whole", Caller.get("/s/x").Body.c_str());
}

TEST(Streaming, aCutUploadNeverReachesTheTargetAsComplete) {
  fake_target Target(counting());
  const std::string Address = Fixture.start({Target.address()});
  const std::string Part(Large / 2, 'u');
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Wire :
       {"Content-Length: 1000000\r\n\r\n" + Part, Chunked + chunk(Part),
        Chunked + chunk("small"), Chunked + chunk(Part) + "0\r\n"})
    sendAndClose(Address, Target, Wire);
  CHECK(eventually([&] { return Uploads == 4; }));
  // A small body is kept first; its part is never dispatched.
  test_caller Small(Address);
  Small.send("POST /s/x HTTP/1.1\r\nHost: t\r\n"
             "Content-Length: 10\r\n\r\nhalf");
  Small.close();
  CHECK(eventually([&] {
    return Fixture.Front->inFlight() == 0 && Fixture.Router.open() == 0;
  }));
  LONGS_EQUAL(0, CompleteUploads);
  LONGS_EQUAL(4, Uploads);
}

TEST(Streaming, aMalformedUploadIsRefusedAndBroken) {
  fake_target Target(counting());
  test_caller Caller(Fixture.start({Target.address()}));
  Caller.send("POST /s/x HTTP/1.1\r\nHost: t\r\n"
              "Transfer-Encoding: chunked\r\n\r\n" +
              chunk("good") + "zz\r\n");
  const auto Answer = Caller.receive();
  LONGS_EQUAL(400, Answer.status());
  CHECK(!Answer.Head.has("Fulmar-Not-Run"));
  LONGS_EQUAL(0, CompleteUploads);
}

TEST(Streaming, uploadsBeyondTheBoundAreCutOff) {
  fake_target Target(counting());
  Fixture.Policy.MaxBodyBytes = Large / 2;
  test_caller Caller(Fixture.start({Target.address()}));
  Caller.send("POST /s/x HTTP/1.1\r\nHost: t\r\n"
              "Transfer-Encoding: chunked\r\n\r\n" +
              chunk(std::string(Large, 'u')));
  LONGS_EQUAL(413, Caller.receive().status());
  CHECK(eventually([&] { return Uploads == 1; }));
  LONGS_EQUAL(0, CompleteUploads);
}

TEST(Streaming, largeBodiesPassInBoundedMemory) {
  constexpr std::uint64_t Bytes = std::uint64_t{64} << 20;
  constexpr long BoundKib = 24 * 1024;
  const std::string Block(65536, 'b');
  const std::string Chunk = chunk(Block);
  std::atomic<std::uint64_t> Uploaded{0};
  fake_target Target([&](connection &Peer) {
    while (!headLength(Peer.unread()))
      if (Peer.fill(soon()) != io_status::Done)
        return;
    Peer.consume(*headLength(Peer.unread()));
    body_reader Body(Peer, {.Kind = framing_kind::Chunked});
    body_piece Piece;
    while ((Piece = Body.read(soon())).State == body_state::Data)
      Uploaded += Piece.Bytes.size();
    if (Piece.State != body_state::End)
      return;
    sendText(Peer, "HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(Bytes) + "\r\n\r\n");
    for (std::uint64_t Sent = 0; Sent < Bytes; Sent += Block.size())
      sendText(Peer, Block);
  });
  test_caller Caller(Fixture.start({Target.address()}));
  const long Before = peakKib();
  Caller.send("POST /s/x HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n"
              "Expect: 100-continue\r\n\r\n");
  CHECK(Caller.raw().fill(soon()) == io_status::Done);
  STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n",
               std::string(Caller.raw().unread()).c_str());
  Caller.raw().consume(Caller.raw().unread().size());
  for (std::uint64_t Sent = 0; Sent < Bytes; Sent += Block.size())
    Caller.send(Chunk);
  Caller.send("0\r\n\r\n");
  while (!headLength(Caller.raw().unread()))
    CHECK(Caller.raw().fill(soon()) == io_status::Done);
  Caller.raw().consume(*headLength(Caller.raw().unread()));
  body_reader Body(Caller.raw(),
                   {.Kind = framing_kind::Fixed, .Length = Bytes});
  std::uint64_t Downloaded = 0;
  body_piece Piece;
  while ((Piece = Body.read(soon())).State == body_state::Data)
    Downloaded += Piece.Bytes.size();
  CHECK(Piece.State == body_state::End);
  CHECK(Uploaded == Bytes);
  CHECK(Downloaded == Bytes);
  CHECK(peakKib() - Before < BoundKib);
}

TEST(Streaming, aRefusalDuringAnUploadIsHeard) {
  fake_target Target([](connection &Peer) {
    while (!headLength(Peer.unread()))
      if (Peer.fill(soon()) != io_status::Done)
        return;
    // The reset must not hide what was answered before it.
    sendText(Peer, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                   "Fulmar-Not-Started: true\r\n\r\n");
    Peer.breakOff();
  });
  test_caller Caller(Fixture.start({Target.address()}));
  Caller.send("POST /s/x HTTP/1.1\r\nHost: t\r\nContent-Length: " +
              std::to_string(Large) + "\r\n\r\n" + std::string(Large, 'u'));
  const auto Answer = Caller.receive();
  LONGS_EQUAL(503, Answer.status());
  STRCMP_EQUAL("true", Answer.Head.get("Fulmar-Not-Run", "").c_str());
}

TEST(Streaming, aResetDoesNotHideWhatTheTargetAnswered) {
  auto [CallerSide, Caller] = connectedPair();
  auto [TargetSide, Target] = connectedPair();
  sendText(*CallerSide, "hello");
  CHECK(Caller->fill(soon()) == io_status::Done);
  sendText(*TargetSide, "refusal");
  TargetSide->breakOff();
  const body_framing Framing{.Kind = framing_kind::Fixed, .Length = 10};
  caller_exchange Exchange(*Caller, {}, Framing, {});
  const auto End = transferUpload(
      Exchange, *Target, Framing,
      {.MaxBytes = 10, .IdleTimeout = TestPatience, .Deadline = soon()});
  CHECK(End == transfer_end::EarlyAnswer);
  CHECK(Target->fillNow() == io_status::Done);
  STRCMP_EQUAL("refusal", std::string(Target->unread()).c_str());
}

TEST(Streaming, anEarlyAnswerEndsTheUpload) {
  fake_target Target([](connection &Peer) {
    while (!headLength(Peer.unread()))
      if (Peer.fill(soon()) != io_status::Done)
        return;
    sendText(Peer, fixedAnswer("too large", "", "413 Payload Too Large"));
    Peer.closeGracefully(TestPatience);
  });
  test_caller Caller(Fixture.start({Target.address()}));
  Caller.send("POST /s/x HTTP/1.1\r\nHost: t\r\nContent-Length: " +
              std::to_string(Large * 100) + "\r\n\r\n" +
              std::string(Large, 'u'));
  const auto Answer = Caller.receive();
  LONGS_EQUAL(413, Answer.status());
  STRCMP_EQUAL("too large", Answer.Body.c_str());
  STRCMP_EQUAL("close", Answer.Head.get("Connection", "").c_str());
  LONGS_EQUAL(0, Fixture.Pool.idle());
}
