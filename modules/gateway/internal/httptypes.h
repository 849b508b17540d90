// Aliases for Boost.Beast, and helper functions for HTTP headers.

#ifndef FULMAR_GATEWAY_INTERNAL_HTTPTYPES_H
#define FULMAR_GATEWAY_INTERNAL_HTTPTYPES_H

#include "fulmar/eventloop/loop.h"

#include <boost/beast/http.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using eventloop::error_code;
using eventloop::tcp;

/// Promises that the request has not run.
inline constexpr unsigned StatusUnavailable = 503;

using shared_body = std::shared_ptr<const std::string>;

/// Returns the value of a header; empty if it is missing.
std::string_view headerOf(const http::fields &Fields, std::string_view Name);

/// True for a header that concerns a single connection: a standard hop-by-hop
/// header, or one that Connection lists.
bool isHopByHop(const http::fields &Fields, std::string_view Name);

/// Appends "Name: Value\r\n".
void appendHeader(std::string &Head, std::string_view Name,
                  std::string_view Value);

/// Parses an unsigned integer; empty if \p Text is anything else.
std::optional<std::uint64_t> parseWhole(std::string_view Text);

/// Parses a non-negative decimal number without an exponent; empty if \p Text
/// is anything else.
std::optional<double> parseDecimal(std::string_view Text);

/// Parses non-negative seconds, with or without a fraction, as in Retry-After;
/// empty if \p Text is anything else.
std::optional<base::duration> parseSeconds(std::string_view Text);

inline std::int64_t toMilliseconds(base::duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_HTTPTYPES_H
