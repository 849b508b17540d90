// Service time, cancellation, refusals and self-describing answers.

#include "workhandler.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>
#include <absl/random/random.h>
#include <absl/strings/numbers.h>

#include <poll.h>
#include <unistd.h>

#include <cmath>
#include <optional>

namespace fulmar::target {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::uint64_t MaxAnswerBytes = std::uint64_t{1} << 30;

std::uint64_t bytesAsked(const std::string &Target) {
  for (const auto &[Name, Value] : Poco::URI(Target).getQueryParameters()) {
    std::uint64_t Bytes = 0;
    if (Name == "bytes" && absl::SimpleAtoi(Value, &Bytes))
      return std::min(Bytes, MaxAnswerBytes);
  }
  return 0;
}

double drawServiceMs(const target_options &Options) {
  thread_local absl::BitGen Source;
  switch (Options.Distribution) {
  case service_distribution::Exponential:
    return absl::Exponential<double>(Source) * Options.ServiceMs;
  case service_distribution::Uniform:
    return absl::Uniform(Source, 0.0, 2 * Options.ServiceMs);
  case service_distribution::Fixed:
    break;
  }
  return Options.ServiceMs;
}

/// Reads the whole body; empty when it ended before its declared length.
std::optional<running_digest> readUpload(HTTPServerRequest &Request) {
  constexpr std::size_t PieceBytes = 65536;
  std::string Piece(PieceBytes, '\0');
  running_digest Digest;
  std::istream &Body = Request.stream();
  while (Body.read(Piece.data(), PieceBytes), Body.gcount() > 0)
    Digest.add(std::string_view(Piece.data(),
                                static_cast<std::size_t>(Body.gcount())));
  if (Request.hasContentLength() &&
      Digest.bytes() !=
          static_cast<std::uint64_t>(Request.getContentLength64()))
    return std::nullopt;
  return Digest;
}

/// Waits, and returns false as soon as the peer closes the connection.
bool waitUnlessClosed(HTTPServerRequest &Request, double Milliseconds) {
  auto *Server = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&Request);
  if (Server == nullptr)
    return true;
  pollfd Watched{Server->socket().impl()->sockfd(), POLLRDHUP, 0};
  const auto Whole = static_cast<std::int64_t>(Milliseconds * 1e6);
  constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
  const timespec Wait{Whole / NanosecondsPerSecond,
                      Whole % NanosecondsPerSecond};
  return ::ppoll(&Watched, 1, &Wait, nullptr) == 0;
}

void refuse(HTTPServerRequest &Request, HTTPServerResponse &Response) {
  Response.setStatusAndReason(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
  Response.set("Fulmar-Not-Started", "true");
  Response.setContentLength(0);
  constexpr Poco::Int64 MaxDrainedBytes = 1 << 20;
  const bool Short = Request.hasContentLength() &&
                     Request.getContentLength64() <= MaxDrainedBytes;
  if (Short)
    Request.stream().ignore(Request.getContentLength64());
  else if (Request.hasContentLength() || Request.getChunkedTransferEncoding())
    Response.setKeepAlive(false);
  Response.send();
}

/// Ends the transfer in the middle, as a crash would.
void breakOff(HTTPServerRequest &Request) {
  if (auto *Server = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&Request))
    Server->socket().shutdown();
}

} // namespace

void work_handler::handleRequest(HTTPServerRequest &Request,
                                 HTTPServerResponse &Response) {
  constexpr int CrashStatus = 134;
  if (Request.get("X-Crash", "") == "1")
    ::_exit(CrashStatus);
  Response.set("Fulmar-Incarnation", State.incarnation());
  if (Request.has("Fulmar-Request-Id"))
    Response.set("Fulmar-Request-Id", Request.get("Fulmar-Request-Id"));
  const bool Admitted = State.begin();
  Response.set("Fulmar-Load", std::to_string(State.reportedLoad()));
  try {
    Admitted ? serve(Request, Response) : refuse(Request, Response);
  } catch (const Poco::Exception &) {
    Response.setKeepAlive(false);
  }
  State.end();
}

void work_handler::serve(HTTPServerRequest &Request,
                         HTTPServerResponse &Response) {
  const target_behaviour Behaviour = State.behaviour();
  const auto Upload = readUpload(Request);
  if (!Upload) {
    State.countCancelled();
    return Response.setKeepAlive(false);
  }
  State.countRun(Request.get("Idempotency-Key", ""),
                 Request.get("X-Request-Tag", ""));
  if (Behaviour.FailFast) {
    Response.setStatusAndReason(HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
    Response.setContentLength(0);
    Response.send();
    return;
  }
  if (!work(Request, Behaviour)) {
    State.countCancelled();
    return Response.setKeepAlive(false);
  }
  answer(Request, Response, *Upload, Behaviour.Truncate);
}

bool work_handler::work(HTTPServerRequest &Request,
                        const target_behaviour &Behaviour) {
  return waitUnlessClosed(Request,
                          drawServiceMs(State.options()) * Behaviour.Straggle);
}

void work_handler::answer(HTTPServerRequest &Request,
                          HTTPServerResponse &Response,
                          const running_digest &Upload, bool Truncate) {
  const std::string Tag = Request.get("X-Request-Tag", "");
  const std::string Line = answerLine(Tag, Upload.value(), Upload.bytes());
  std::uint64_t Filling = bytesAsked(Request.getURI());
  Response.setContentType("text/plain");
  Response.set("X-Target", State.options().Id);
  if (State.options().Chunked)
    Response.setChunkedTransferEncoding(true);
  else
    Response.setContentLength64(
        static_cast<Poco::Int64>(Line.size() + Filling));
  if (Truncate)
    Filling /= 2;
  std::ostream &Stream = Response.send();
  if (Request.getMethod() == "HEAD")
    return;
  Stream << (Truncate ? Line.substr(0, Line.size() / 2) : Line);
  fillAnswer(Tag, Filling, [&Stream](std::string_view Piece) {
    return static_cast<bool>(
        Stream.write(Piece.data(), static_cast<std::streamsize>(Piece.size())));
  });
  Stream.flush();
  if (Truncate)
    breakOff(Request);
}

} // namespace fulmar::target
