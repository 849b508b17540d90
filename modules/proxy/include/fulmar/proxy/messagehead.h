// Reads, checks and copies the heads of HTTP messages. POCO parses them; the
// checks refuse what two parsers could understand differently.

#ifndef FULMAR_PROXY_MESSAGEHEAD_H
#define FULMAR_PROXY_MESSAGEHEAD_H

#include "fulmar/base/result.h"
#include "fulmar/base/time.h"
#include "fulmar/proxy/connection.h"
#include "fulmar/proxy/proxytypes.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar::proxy {

inline constexpr std::size_t MaxHeadBytes = 32768;

/// Length of the head at the start of \p Bytes, its empty line included;
/// empty while it is incomplete.
std::optional<std::size_t> headLength(std::string_view Bytes);

/// Refuses folded lines, bare line breaks, control characters, white space
/// before a colon and names that are no tokens.
base::result<void> checkHead(std::string_view Head);

/// Parse a complete head that ends with its empty line; BadRequest otherwise.
base::result<Poco::Net::HTTPRequest> parseRequest(std::string_view Head);
base::result<Poco::Net::HTTPResponse> parseResponse(std::string_view Head);

/// How the body is framed; BadRequest when the head is ambiguous: several or
/// malformed lengths, a length beside a transfer coding, an unknown coding.
base::result<body_framing>
requestFraming(const Poco::Net::HTTPRequest &Request);
base::result<body_framing>
responseFraming(const Poco::Net::HTTPResponse &Response,
                const std::string &Method);

/// True when the sender of \p Message keeps the connection open after it.
bool keepsAlive(const Poco::Net::HTTPMessage &Message);

/// Copies the end-to-end headers and leaves out those of the hop.
void copyEndToEnd(const Poco::Net::HTTPMessage &From,
                  Poco::Net::HTTPMessage &To);

/// Sets the headers that announce \p Framing.
void announceFraming(Poco::Net::HTTPMessage &Message,
                     const body_framing &Framing);

std::string textOf(const Poco::Net::HTTPRequest &Request);
std::string textOf(const Poco::Net::HTTPResponse &Response);

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_MESSAGEHEAD_H
