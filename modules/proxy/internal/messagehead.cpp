// Checks on message heads and the framing of bodies.

#include "fulmar/proxy/messagehead.h"

#include "text.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <vector>

namespace fulmar::proxy {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::string_view EmptyLine = "\r\n\r\n";
constexpr std::size_t MaxLines = 200;

constexpr std::array<std::string_view, 10> HopHeaders = {
    "connection",          "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te",         "trailer",
    "transfer-encoding",   "upgrade",    "proxy-connection",
    "content-length"};

auto bad(const std::string &Message) {
  return base::fail(base::error_kind::BadRequest, Message);
}

bool isTokenByte(char Byte) {
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  return Poco::Ascii::isAlphaNumeric(Byte) ||
         Others.find(Byte) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

bool hasControlByte(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(), [](char Byte) {
    constexpr int Delete = 127;
    const int Code = static_cast<unsigned char>(Byte);
    return (Code < ' ' && Byte != '\t') || Code == Delete;
  });
}

base::result<void> checkField(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return bad("header line without a colon");
  if (!isToken(Line.substr(0, Colon)))
    return bad("header name is not a token");
  if (hasControlByte(Line))
    return bad("control character in a header");
  return base::success();
}

std::vector<std::string> valuesOf(const HTTPMessage &Message,
                                  const std::string &Name) {
  std::vector<std::string> Values;
  for (auto Field = Message.find(Name); Field != Message.end(); ++Field) {
    if (!equalsIgnoringCase(Field->first, Name))
      break;
    Values.push_back(Field->second);
  }
  return Values;
}

base::result<std::uint64_t> parseLength(const std::string &Text) {
  constexpr std::size_t MaxDigits = 18;
  const auto Length = parseNumber<std::uint64_t>(Text);
  if (!Length || Text.size() > MaxDigits)
    return bad("bad Content-Length");
  return *Length;
}

/// Framing that the headers declare; None when they declare nothing.
base::result<body_framing> declaredFraming(const HTTPMessage &Message) {
  const auto Lengths = valuesOf(Message, HTTPMessage::CONTENT_LENGTH);
  const auto Codings = valuesOf(Message, HTTPMessage::TRANSFER_ENCODING);
  if (!Lengths.empty() && !Codings.empty())
    return bad("both Content-Length and Transfer-Encoding");
  if (Lengths.size() > 1 || Codings.size() > 1)
    return bad("repeated Content-Length or Transfer-Encoding");
  if (!Codings.empty()) {
    if (!equalsIgnoringCase(Codings.front(), "chunked") ||
        Message.getVersion() != HTTPMessage::HTTP_1_1)
      return bad("unknown Transfer-Encoding");
    return body_framing{.Kind = framing_kind::Chunked};
  }
  if (Lengths.empty())
    return body_framing{};
  BOOST_OUTCOME_TRY(Length, parseLength(Lengths.front()));
  return body_framing{.Kind = framing_kind::Fixed, .Length = Length};
}

/// POCO parses the start line only: its parser of header fields decodes
/// RFC 2047 words, which would let a value smuggle a line break in.
template <typename Message> base::result<Message> parse(std::string_view Head) {
  BOOST_OUTCOME_TRY(checkHead(Head));
  Head.remove_suffix(EmptyLine.size());
  const std::vector<std::string_view> Lines = split(Head, "\r\n");
  if (Lines.size() > MaxLines)
    return bad("too many header lines");
  try {
    std::istringstream Stream(std::string(Lines.front()).append(EmptyLine));
    Message Parsed;
    Parsed.read(Stream);
    for (std::size_t Index = 1; Index < Lines.size(); ++Index) {
      const std::size_t Colon = Lines[Index].find(':');
      Parsed.add(std::string(Lines[Index].substr(0, Colon)),
                 std::string(trim(Lines[Index].substr(Colon + 1))));
    }
    const std::string &Version = Parsed.getVersion();
    if (Version != HTTPMessage::HTTP_1_1 && Version != HTTPMessage::HTTP_1_0)
      return bad("unsupported HTTP version");
    return Parsed;
  } catch (const Poco::Exception &Fault) {
    return bad("malformed head: " + Fault.displayText());
  }
}

template <typename Message> std::string text(const Message &Head) {
  std::ostringstream Stream;
  Head.write(Stream);
  return std::move(Stream).str();
}

} // namespace

std::optional<std::size_t> headLength(std::string_view Bytes) {
  const std::size_t Found = Bytes.find(EmptyLine);
  if (Found == std::string_view::npos)
    return std::nullopt;
  return Found + EmptyLine.size();
}

base::result<void> checkHead(std::string_view Head) {
  if (!Head.ends_with(EmptyLine))
    return bad("incomplete head");
  Head.remove_suffix(EmptyLine.size());
  bool StartLine = true;
  for (const std::string_view Line : split(Head, "\r\n")) {
    if (!StartLine) {
      BOOST_OUTCOME_TRY(checkField(Line));
    }
    if (StartLine &&
        (Line.empty() || hasControlByte(Line) || Line.front() == ' '))
      return bad("malformed start line");
    StartLine = false;
  }
  return base::success();
}

base::result<HTTPRequest> parseRequest(std::string_view Head) {
  BOOST_OUTCOME_TRY(Request, parse<HTTPRequest>(Head));
  const std::string_view Line = Head.substr(0, Head.find("\r\n"));
  const std::vector<std::string_view> Words = split(Line, " ");
  constexpr std::size_t WordsOfRequestLine = 3;
  if (Words.size() != WordsOfRequestLine || !isToken(Words[0]))
    return bad("malformed request line");
  if (!Words[1].starts_with("/"))
    return bad("request target is not a path");
  if (Request.getVersion() == HTTPMessage::HTTP_1_1 &&
      valuesOf(Request, HTTPRequest::HOST).size() != 1)
    return bad("exactly one Host header is required");
  return Request;
}

base::result<HTTPResponse> parseResponse(std::string_view Head) {
  return parse<HTTPResponse>(Head);
}

base::result<body_framing> requestFraming(const HTTPRequest &Request) {
  return declaredFraming(Request);
}

base::result<body_framing> responseFraming(const HTTPResponse &Response,
                                           const std::string &Method) {
  BOOST_OUTCOME_TRY(Framing, declaredFraming(Response));
  constexpr int FirstFinal = 200;
  const int Status = Response.getStatus();
  if (Method == HTTPRequest::HTTP_HEAD || Status < FirstFinal ||
      Status == HTTPResponse::HTTP_NO_CONTENT ||
      Status == HTTPResponse::HTTP_NOT_MODIFIED)
    return body_framing{};
  if (Framing.Kind != framing_kind::None)
    return Framing;
  if (keepsAlive(Response))
    return bad("answer without a length on a connection that stays open");
  return body_framing{.Kind = framing_kind::UntilClose};
}

bool keepsAlive(const HTTPMessage &Message) {
  const bool Persistent = Message.getVersion() == HTTPMessage::HTTP_1_1;
  bool Close = false;
  bool Keep = false;
  for (const std::string &Value : valuesOf(Message, HTTPMessage::CONNECTION)) {
    for (const std::string_view Token : split(Value, ",")) {
      const auto Bare = trim(Token);
      Close = Close || equalsIgnoringCase(Bare, "close");
      Keep = Keep || equalsIgnoringCase(Bare, "keep-alive");
    }
  }
  return !Close && (Persistent || Keep);
}

void copyEndToEnd(const HTTPMessage &From, HTTPMessage &To) {
  std::vector<std::string> Dropped(HopHeaders.begin(), HopHeaders.end());
  for (const std::string &Value : valuesOf(From, HTTPMessage::CONNECTION))
    for (const std::string_view Token : split(Value, ","))
      Dropped.push_back(lower(trim(Token)));
  for (const auto &[Name, Value] : From) {
    const std::string Lower = lower(Name);
    if (std::find(Dropped.begin(), Dropped.end(), Lower) == Dropped.end())
      To.add(Name, Value);
  }
}

void announceFraming(HTTPMessage &Message, const body_framing &Framing) {
  Message.erase(HTTPMessage::CONTENT_LENGTH);
  Message.erase(HTTPMessage::TRANSFER_ENCODING);
  if (Framing.Kind == framing_kind::Fixed)
    Message.set(HTTPMessage::CONTENT_LENGTH, std::to_string(Framing.Length));
  if (Framing.Kind == framing_kind::Chunked)
    Message.set(HTTPMessage::TRANSFER_ENCODING, "chunked");
}

std::string textOf(const HTTPRequest &Request) { return text(Request); }

std::string textOf(const HTTPResponse &Response) { return text(Response); }

} // namespace fulmar::proxy
