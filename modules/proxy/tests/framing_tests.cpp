// Parsers and validators: heads, framing, the chunked transfer coding.

#include "fulmar/proxy/bodywriter.h"
#include "fulmar/proxy/chunkdecoder.h"
#include "fulmar/proxy/messagehead.h"

#include "fulmar/testing/property.h"

using namespace fulmar::proxy;

namespace {

struct decoded_body {
  std::string Text;
  body_state State = body_state::Waiting;
  std::string Left;
};

/// Decodes \p Wire, which arrives in pieces of \p PieceBytes.
decoded_body decodeInPieces(const std::string &Wire, std::size_t PieceBytes) {
  chunk_decoder Decoder;
  decoded_body Result;
  std::size_t Given = 0;
  while (true) {
    const auto Step = Decoder.decode(Result.Left);
    Result.Text.append(Step.Data);
    Result.Left.erase(0, Step.Consumed);
    Result.State = Step.State;
    if (Step.State == body_state::Data)
      continue;
    if (Step.State != body_state::Waiting || Given == Wire.size())
      break;
    Result.Left.append(Wire.substr(Given, PieceBytes));
    Given = std::min(Wire.size(), Given + PieceBytes);
  }
  Result.Left.append(Wire.substr(Given));
  return Result;
}

std::string encode(const std::vector<std::string> &Pieces) {
  body_writer Writer({.Kind = framing_kind::Chunked});
  std::string Wire;
  for (const std::string &Piece : Pieces)
    Wire.append(Writer.encode(Piece));
  return Wire.append(Writer.terminator());
}

std::string join(const std::vector<std::string> &Pieces) {
  std::string Text;
  for (const std::string &Piece : Pieces)
    Text += Piece;
  return Text;
}

bool headAccepted(const std::string &Lines) {
  return parseRequest("GET / HTTP/1.1\r\nHost: h\r\n" + Lines + "\r\n")
      .has_value();
}

bool framingAccepted(const std::string &Lines) {
  const auto Request =
      parseRequest("POST / HTTP/1.1\r\nHost: h\r\n" + Lines + "\r\n");
  return Request.has_value() && requestFraming(Request.value()).has_value();
}

} // namespace

TEST_GROUP(Framing){};

TEST(Framing, chunkedBodiesSurviveAnySplit) {
  fulmar::testing::checkProperty(
      "decode(encode(body)) == body", [](std::vector<std::string> Pieces) {
        const auto PieceBytes = *rc::gen::inRange<std::size_t>(1, 40);
        const auto Decoded = decodeInPieces(encode(Pieces) + "GET", PieceBytes);
        RC_ASSERT(Decoded.State == body_state::End);
        RC_ASSERT(Decoded.Text == join(Pieces));
        RC_ASSERT(Decoded.Left == "GET");
      });
}

TEST(Framing, aCutChunkedBodyIsNeverComplete) {
  fulmar::testing::checkProperty(
      "no proper prefix ends", [](std::vector<std::string> Pieces) {
        const std::string Wire = encode(Pieces);
        const auto Cut = *rc::gen::inRange<std::size_t>(0, Wire.size());
        const auto Decoded = decodeInPieces(Wire.substr(0, Cut), 7);
        RC_ASSERT(Decoded.State == body_state::Waiting);
      });
}

TEST(Framing, junkInChunkSizesIsMalformed) {
  for (const char *Wire :
       {"x\r\n", "\r\n", "5\nhello\r\n", "5\r\nhelloX", "-5\r\n", "0x5\r\n",
        "fffffffffffffffff\r\n", "0\r\n\rX", ";a\r\n", "5\r\nhello\n"})
    CHECK_TRUE_TEXT(decodeInPieces(Wire, 3).State == body_state::Malformed,
                    Wire);
}

TEST(Framing, extensionsAndTrailersAreSkipped) {
  const auto Decoded =
      decodeInPieces("5;a=b\r\nhello\r\n000\r\nT: v\r\nU: w\r\n\r\nrest", 2);
  CHECK(Decoded.State == body_state::End);
  STRCMP_EQUAL("hello", Decoded.Text.c_str());
  STRCMP_EQUAL("rest", Decoded.Left.c_str());
}

TEST(Framing, ambiguousLengthsAreRefused) {
  CHECK(framingAccepted("Content-Length: 5\r\n"));
  CHECK(framingAccepted("Transfer-Encoding: Chunked\r\n"));
  for (const char *Lines :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\ncontent-length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nX: y\r\ncontent-length: 6\r\n",
        "Content-Length: 5, 5\r\n", "Content-Length: -5\r\n",
        "Content-Length: +5\r\n", "Content-Length: 0x5\r\n",
        "Content-Length: \r\n", "Content-Length: 99999999999999999999\r\n",
        "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"})
    CHECK_FALSE_TEXT(framingAccepted(Lines), Lines);
}

TEST(Framing, malformedHeadsAreRefused) {
  CHECK(headAccepted("X-A: b\r\n"));
  for (const char *Lines :
       {"X-A : b\r\n", " X-A: b\r\n", "X-A: b\r\n folded\r\n", "no colon\r\n",
        ": b\r\n", "X\x01: b\r\n", "X-A: b\rc\r\n", "X-A: b\nX-C: d\r\n",
        "Host: again\r\n", "X-A: \x7f\r\n"})
    CHECK_FALSE_TEXT(headAccepted(Lines), Lines);
  for (const char *Line :
       {"GET / HTTP/2.0", "GET  / HTTP/1.1", "GET /", "GET a HTTP/1.1",
        "G@T / HTTP/1.1", "GET / a HTTP/1.1", ""})
    CHECK_FALSE_TEXT(
        parseRequest(std::string(Line) + "\r\nHost: h\r\n\r\n").has_value(),
        Line);
}

TEST(Framing, arbitraryHeadsNeitherCrashNorSplitHeaders) {
  fulmar::testing::checkProperty(
      "bytes in, error or head out", [](const std::string &Bytes) {
        const auto Request = parseRequest(
            "GET / HTTP/1.1\r\nHost: h\r\nX: " + Bytes + "\r\n\r\n");
        if (!Request.has_value())
          return;
        const std::string Text = textOf(Request.value());
        RC_ASSERT(headLength(Text) == Text.size());
        RC_ASSERT(checkHead(Text).has_value());
      });
}

TEST(Framing, encodedWordsAreNotDecoded) {
  const auto Request = parseRequest("GET / HTTP/1.1\r\nHost: h\r\n"
                                    "X: =?utf-8?Q?a=0D=0AY:_b?=\r\n\r\n");
  CHECK(Request.has_value());
  STRCMP_EQUAL("=?utf-8?Q?a=0D=0AY:_b?=", Request.value().get("X").c_str());
}

TEST(Framing, headersOfTheHopAreLeftOut) {
  const auto From =
      parseRequest("GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\n"
                   "X-Hop: 1\r\nTE: trailers\r\nX-End: 2\r\nX-End: 3\r\n\r\n");
  Poco::Net::HTTPRequest To;
  copyEndToEnd(From.value(), To);
  CHECK(!To.has("Connection") && !To.has("X-Hop") && !To.has("TE"));
  LONGS_EQUAL(3, To.size());
}

TEST(Framing, anAnswerWithoutLengthNeedsAClosedConnection) {
  const auto FramingOf = [](const std::string &Lines) {
    return responseFraming(
        parseResponse("HTTP/1.1 200 OK\r\n" + Lines + "\r\n").value(), "GET");
  };
  CHECK(!FramingOf("X: y\r\n").has_value());
  CHECK(FramingOf("Connection: close\r\n").value().Kind ==
        framing_kind::UntilClose);
}
