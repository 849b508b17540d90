// Helper functions for HTTP headers.

#include "internal/httptypes.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace fulmar::gateway {

namespace {

constexpr std::array<std::string_view, 9> HopByHop = {
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Proxy-Connection"};

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

bool listContains(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    const auto Comma = List.find(',');
    if (equalsIgnoringCase(trimmed(List.substr(0, Comma)), Name))
      return true;
    List.remove_prefix(Comma == std::string_view::npos ? List.size()
                                                       : Comma + 1);
  }
  return false;
}

} // namespace

std::string_view headerOf(const http::fields &Fields, std::string_view Name) {
  const auto Found = Fields.find({Name.data(), Name.size()});
  if (Found == Fields.end())
    return {};
  return {Found->value().data(), Found->value().size()};
}

bool isHopByHop(const http::fields &Fields, std::string_view Name) {
  const bool Listed = std::any_of(HopByHop.begin(), HopByHop.end(),
                                  [Name](std::string_view Known) {
                                    return equalsIgnoringCase(Known, Name);
                                  });
  return Listed || listContains(headerOf(Fields, "Connection"), Name);
}

void appendHeader(std::string &Head, std::string_view Name,
                  std::string_view Value) {
  Head.append(Name).append(": ").append(Value).append("\r\n");
}

std::optional<std::uint64_t> parseWhole(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *Last = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), Last, Number);
  if (Read.ec != std::errc() || Read.ptr != Last || Text.empty())
    return std::nullopt;
  return Number;
}

std::optional<double> parseDecimal(std::string_view Text) {
  const std::string_view Number = trimmed(Text);
  // from_chars() also accepts a minus sign and words such as "inf" and "nan".
  if (Number.empty() ||
      std::isdigit(static_cast<unsigned char>(Number.front())) == 0)
    return std::nullopt;
  double Value = 0;
  const char *Last = Number.data() + Number.size();
  const auto Read =
      std::from_chars(Number.data(), Last, Value, std::chars_format::fixed);
  if (Read.ec != std::errc() || Read.ptr != Last)
    return std::nullopt;
  return Value;
}

std::optional<base::duration> parseSeconds(std::string_view Text) {
  /// Longer times are treated like this one.
  constexpr double MaxSeconds = 86'400;
  const auto Seconds = parseDecimal(Text);
  if (!Seconds)
    return std::nullopt;
  return std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double>(std::min(*Seconds, MaxSeconds)));
}

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [](unsigned char One, unsigned char Other) {
                      return std::tolower(One) == std::tolower(Other);
                    });
}

} // namespace fulmar::gateway
