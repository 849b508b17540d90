// Text operations on std::string_view, which Debian's Abseil does not take.

#ifndef FULMAR_PROXY_TEXT_H
#define FULMAR_PROXY_TEXT_H

#include <Poco/Ascii.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::proxy {

inline std::vector<std::string_view> split(std::string_view Text,
                                           std::string_view Separator) {
  std::vector<std::string_view> Parts;
  std::size_t Begin = 0;
  while (true) {
    const std::size_t Found = Text.find(Separator, Begin);
    if (Found == std::string_view::npos)
      break;
    Parts.push_back(Text.substr(Begin, Found - Begin));
    Begin = Found + Separator.size();
  }
  Parts.push_back(Text.substr(Begin));
  return Parts;
}

inline std::string_view trim(std::string_view Text) {
  constexpr std::string_view Blank = " \t";
  const std::size_t First = Text.find_first_not_of(Blank);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blank) - First + 1);
}

inline std::string lower(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char Byte) {
    return static_cast<char>(Poco::Ascii::toLower(Byte));
  });
  return Lower;
}

inline bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() && lower(Left) == lower(Right);
}

/// A number of decimal digits only; empty for anything else.
template <typename Number>
std::optional<Number> parseNumber(std::string_view Text) {
  const bool Digits =
      !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char Byte) {
        return Byte >= '0' && Byte <= '9';
      });
  Number Value{};
  const auto [End, Fault] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (!Digits || Fault != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_TEXT_H
