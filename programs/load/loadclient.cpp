// One request, one answer, one judgement.

#include "loadclient.h"

#include "fulmar/proxy/bodywriter.h"
#include "fulmar/proxy/messagehead.h"
#include "target/answerpattern.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace fulmar::load {

using Poco::Net::HTTPResponse;

namespace {

/// Compares an answer with what it has to be, piece by piece.
class answer_check {
public:
  answer_check(const load_request &Request, std::uint64_t UploadDigest,
               std::uint64_t UploadBytes, std::uint64_t Filling)
      : Expected(target::answerLine(Request.Tag, UploadDigest, UploadBytes)),
        Block(target::answerBlock(Request.Tag)),
        Total(Expected.size() + Filling) {}

  void add(std::string_view Piece) {
    for (const char Byte : Piece) {
      Same = Same && Position < Total && Byte == expectedAt(Position);
      ++Position;
    }
  }

  [[nodiscard]] outcome verdict() const {
    if (!Same)
      return outcome::Wrong;
    return Position == Total ? outcome::Ok : outcome::TruncatedAsComplete;
  }

private:
  [[nodiscard]] char expectedAt(std::uint64_t At) const {
    return At < Expected.size() ? Expected[At]
                                : Block[(At - Expected.size()) % Block.size()];
  }

  const std::string Expected;
  const std::string Block;
  const std::uint64_t Total;
  std::uint64_t Position = 0;
  bool Same = true;
};

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Items;
  std::istringstream Stream(Text);
  for (std::string Item; std::getline(Stream, Item, ',');)
    Items.push_back(Item);
  return Items;
}

} // namespace

load_client::load_client(const load_options &Settings) : Options(Settings) {
  constexpr std::size_t BlockBytes = 65536;
  UploadBlock.assign(std::min<std::uint64_t>(BlockBytes, Options.UploadBytes),
                     'u');
  target::running_digest Digest;
  for (std::uint64_t Left = Options.UploadBytes; Left > 0;) {
    const auto Size = std::min<std::uint64_t>(Left, UploadBlock.size());
    Digest.add(std::string_view(UploadBlock).substr(0, Size));
    Left -= Size;
  }
  UploadDigest = Digest.value();
}

load_answer load_client::exchange(const load_request &Request,
                                  const std::string &Address) {
  const base::instant Deadline = proxy::currentInstant() + Options.Timeout;
  auto &Kept = Connections[Address];
  if (Kept && !Kept->usable())
    Kept.reset();
  if (!Kept) {
    auto Opened = proxy::connection::open(Address, Options.Timeout);
    if (!Opened.has_value())
      return {};
    Kept = std::move(Opened).value();
  }
  std::unique_ptr<proxy::connection> Connection = std::move(Kept);
  const bool Sent = sendRequest(*Connection, Request, Deadline);
  HTTPResponse Head;
  if (!readHead(*Connection, Deadline, Head))
    return {};
  bool Reusable = false;
  load_answer Answer = judge(*Connection, Request, Head, Deadline, Reusable);
  if (Sent && Reusable)
    Connections[Address] = std::move(Connection);
  return Answer;
}

std::string load_client::requestHead(const load_request &Request) const {
  std::string Head = Request.Post ? "POST" : "GET";
  Head += " /" + Options.Service +
          "/load?bytes=" + std::to_string(Options.AnswerBytes) +
          " HTTP/1.1\r\nHost: load\r\nX-Request-Tag: " + Request.Tag +
          "\r\nFulmar-Request-Id: " + Request.Tag + "\r\n";
  if (!Request.Key.empty())
    Head += "Idempotency-Key: " + Request.Key + "\r\n";
  if (Request.Post)
    Head +=
        Options.ChunkedUploads
            ? "Transfer-Encoding: chunked\r\n"
            : "Content-Length: " + std::to_string(Options.UploadBytes) + "\r\n";
  return Head + "\r\n";
}

bool load_client::sendRequest(proxy::connection &To,
                              const load_request &Request,
                              base::instant Deadline) {
  return To.send(requestHead(Request), Deadline) == proxy::io_status::Done &&
         (!Request.Post || sendUpload(To, Deadline));
}

bool load_client::sendUpload(proxy::connection &To, base::instant Deadline) {
  using proxy::framing_kind;
  proxy::body_writer Writer({.Kind = Options.ChunkedUploads
                                         ? framing_kind::Chunked
                                         : framing_kind::Fixed,
                             .Length = Options.UploadBytes});
  for (std::uint64_t Left = Options.UploadBytes; Left > 0;) {
    const auto Size = std::min<std::uint64_t>(Left, UploadBlock.size());
    const auto Piece = std::string_view(UploadBlock).substr(0, Size);
    if (To.send(Writer.encode(Piece), Deadline) != proxy::io_status::Done)
      return false;
    Left -= Size;
  }
  return To.send(Writer.terminator(), Deadline) == proxy::io_status::Done;
}

bool load_client::readHead(proxy::connection &From, base::instant Deadline,
                           HTTPResponse &Head) {
  while (true) {
    const auto Length = proxy::headLength(From.unread());
    if (Length) {
      const auto Parsed =
          proxy::parseResponse(From.unread().substr(0, *Length));
      From.consume(*Length);
      if (!Parsed.has_value())
        return false;
      Head = Parsed.value();
      return true;
    }
    if (From.fill(Deadline) != proxy::io_status::Done)
      return false;
  }
}

load_answer load_client::judge(proxy::connection &From,
                               const load_request &Request,
                               const HTTPResponse &Head, base::instant Deadline,
                               bool &Reusable) {
  load_answer Answer{.Outcome = outcome::Broken,
                     .Status = Head.getStatus(),
                     .Error = Head.get("Fulmar-Error", ""),
                     .OtherEntries = splitList(Head.get("Fulmar-Entries", ""))};
  Answer.RetryAfter =
      std::chrono::seconds(std::atoll(Head.get("Retry-After", "0").c_str()));
  const auto Framing =
      proxy::responseFraming(Head, Request.Post ? "POST" : "GET");
  if (!Framing.has_value())
    return Answer;
  proxy::body_reader Body(From, Framing.value());
  const outcome Checked = checkBody(Body, Request, Deadline);
  Reusable = Body.complete() && proxy::keepsAlive(Head) &&
             Framing.value().Kind != proxy::framing_kind::UntilClose;
  if (Checked == outcome::Broken)
    return Answer;
  Answer.Outcome = Checked;
  if (Head.get("Fulmar-Request-Id", Request.Tag) != Request.Tag)
    Answer.Outcome = outcome::Wrong;
  if (Answer.Status != HTTPResponse::HTTP_OK)
    Answer.Outcome =
        Head.has("Fulmar-Not-Run") || Head.has("Fulmar-Not-Started")
            ? outcome::RefusedNotRun
            : outcome::Unknown;
  return Answer;
}

outcome load_client::checkBody(proxy::body_reader &Body,
                               const load_request &Request,
                               base::instant Deadline) const {
  const target::running_digest Empty;
  answer_check Check(Request, Request.Post ? UploadDigest : Empty.value(),
                     Request.Post ? Options.UploadBytes : 0,
                     Options.AnswerBytes);
  while (true) {
    const proxy::body_piece Piece = Body.read(Deadline);
    if (Piece.State == proxy::body_state::End)
      return Check.verdict();
    if (Piece.State != proxy::body_state::Data)
      return outcome::Broken;
    Check.add(Piece.Bytes);
  }
}

} // namespace fulmar::load
