// Headers of a request and their meaning to the router.

#include "requestprofile.h"

#include "fulmar/routing/fingerprint.h"
#include "fulmar/routing/retrybudget.h"
#include "text.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace fulmar::proxy {

namespace {

using Poco::Net::HTTPRequest;

constexpr std::array<std::string_view, 6> IdempotentMethods = {
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
constexpr std::size_t MaxKeyBytes = 256;
constexpr std::uint8_t DefaultPriority = 4;
constexpr std::uint8_t MaxPriority = 9;

auto bad(const std::string &Message) {
  return base::fail(base::error_kind::BadRequest, Message);
}

bool isServiceName(std::string_view Name) {
  constexpr std::size_t MaxNameBytes = 64;
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         std::all_of(Name.begin(), Name.end(), [](char Byte) {
           return Poco::Ascii::isAlphaNumeric(Byte) || Byte == '-' ||
                  Byte == '_' || Byte == '.';
         });
}

base::result<base::duration> timeLeft(const HTTPRequest &Request,
                                      base::duration Bound) {
  if (!Request.has("Fulmar-Deadline-Ms"))
    return Bound;
  const auto Left =
      parseNumber<std::uint32_t>(Request.get("Fulmar-Deadline-Ms"));
  if (!Left)
    return bad("bad Fulmar-Deadline-Ms");
  if (*Left == 0)
    return base::fail(base::error_kind::DeadlinePassed,
                      "the caller's deadline has passed");
  return std::min<base::duration>(std::chrono::milliseconds(*Left), Bound);
}

base::result<std::uint8_t> priorityOf(const HTTPRequest &Request) {
  if (!Request.has("Fulmar-Priority"))
    return DefaultPriority;
  const auto Priority =
      parseNumber<std::uint8_t>(Request.get("Fulmar-Priority"));
  if (!Priority || *Priority > MaxPriority)
    return bad("bad Fulmar-Priority, expected 0 to 9");
  return *Priority;
}

base::result<std::optional<std::string>> keyOf(const HTTPRequest &Request) {
  if (!Request.has("Idempotency-Key"))
    return std::optional<std::string>();
  const std::string &Key = Request.get("Idempotency-Key");
  if (Key.empty() || Key.size() > MaxKeyBytes)
    return bad("bad Idempotency-Key, expected 1 to 256 bytes");
  return std::optional<std::string>(Key);
}

} // namespace

base::result<base::service_name> serviceOf(const HTTPRequest &Request) {
  std::string Name = Request.get("Fulmar-Service", "");
  if (Name.empty()) {
    const std::string &Path = Request.getURI();
    const std::size_t End = Path.find_first_of("/?#", 1);
    Name = Path.substr(1, End == std::string::npos ? End : End - 1);
  }
  if (!isServiceName(Name))
    return base::fail(base::error_kind::UnknownService,
                      "the path names no service");
  return base::service_name(Name);
}

base::result<routing::request_profile>
deriveProfile(const HTTPRequest &Request, const base::service_name &Service,
              const service_policy &Policy, base::instant Now) {
  BOOST_OUTCOME_TRY(Left, timeLeft(Request, Policy.Timeout));
  BOOST_OUTCOME_TRY(Priority, priorityOf(Request));
  BOOST_OUTCOME_TRY(Key, keyOf(Request));
  const bool SafeMethod =
      std::find(IdempotentMethods.begin(), IdempotentMethods.end(),
                Request.getMethod()) != IdempotentMethods.end();
  return routing::request_profile{
      .Service = Service,
      .Idempotent = Policy.AllIdempotent || SafeMethod,
      .IdempotencyKey = Key,
      .Deadline = Now + Left,
      .Priority = Priority,
      .MarkedAsRetry = Request.has(routing::RetryHeader)};
}

std::uint64_t contentDigest(const HTTPRequest &Request,
                            const body_framing &Framing,
                            const std::optional<std::string> &KeptBody) {
  const std::string Body =
      KeptBody.value_or(std::to_string(Framing.Length) + "\n" +
                        Request.get("Content-Digest", ""));
  return routing::fingerprintOfContent(Request.getMethod(), Request.getURI(),
                                       Body);
}

} // namespace fulmar::proxy
