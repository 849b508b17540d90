// Takes quoted key=value pairs apart.

#include "loglines.h"

#include <Poco/NumberParser.h>
#include <absl/time/time.h>

namespace fulmar::ctl {

namespace {

constexpr std::string_view TimeKey = "time=";

/// The character that an escape sequence at the start of \p Rest stands for;
/// empty when the sequence is malformed.
std::optional<char> takeEscaped(std::string_view &Rest) {
  constexpr std::size_t HexDigits = 2;
  if (Rest.empty())
    return std::nullopt;
  const char Kind = Rest.front();
  Rest.remove_prefix(1);
  if (Kind == 'n')
    return '\n';
  if (Kind != 'x')
    return Kind;
  unsigned Code = 0;
  if (Rest.size() < HexDigits ||
      !Poco::NumberParser::tryParseHex(std::string(Rest.substr(0, HexDigits)),
                                       Code))
    return std::nullopt;
  Rest.remove_prefix(HexDigits);
  return static_cast<char>(Code);
}

std::optional<std::string> takeQuoted(std::string_view &Rest) {
  std::string Value;
  while (!Rest.empty()) {
    const char Character = Rest.front();
    Rest.remove_prefix(1);
    if (Character == '"')
      return Value;
    if (Character != '\\') {
      Value += Character;
      continue;
    }
    const auto Escaped = takeEscaped(Rest);
    if (!Escaped)
      return std::nullopt;
    Value += *Escaped;
  }
  return std::nullopt;
}

std::optional<std::string> takeValue(std::string_view &Rest) {
  if (Rest.starts_with('"')) {
    Rest.remove_prefix(1);
    return takeQuoted(Rest);
  }
  const std::string_view Value = Rest.substr(0, Rest.find(' '));
  Rest.remove_prefix(Value.size());
  return std::string(Value);
}

std::optional<std::int64_t> parseTime(const std::string &Text) {
  absl::Time Time;
  std::string Fault;
  if (!absl::ParseTime(absl::RFC3339_full, Text, &Time, &Fault))
    return std::nullopt;
  return absl::ToUnixMillis(Time);
}

} // namespace

const std::string &log_line::field(const std::string &Key) const {
  static const std::string None;
  const auto Found = Fields.find(Key);
  return Found == Fields.end() ? None : Found->second;
}

std::optional<log_line> parseLogLine(std::string_view Text) {
  const std::size_t Begin = Text.find(TimeKey);
  if (Begin == std::string_view::npos)
    return std::nullopt;
  std::string_view Rest = Text.substr(Begin);
  while (Rest.ends_with('\n') || Rest.ends_with('\r') || Rest.ends_with(' '))
    Rest.remove_suffix(1);
  log_line Line;
  while (!Rest.empty()) {
    const std::size_t Equals = Rest.find('=');
    if (Equals == std::string_view::npos)
      return std::nullopt;
    std::string Key(Rest.substr(0, Equals));
    Rest.remove_prefix(Equals + 1);
    auto Value = takeValue(Rest);
    if (!Value || (!Rest.empty() && Rest.front() != ' '))
      return std::nullopt;
    Line.Fields.insert_or_assign(std::move(Key), std::move(*Value));
    Rest.remove_prefix(Rest.empty() ? 0 : 1);
  }
  const auto Time = parseTime(Line.field("time"));
  if (!Time || Line.field("event").empty())
    return std::nullopt;
  Line.TimeMs = *Time;
  return Line;
}

} // namespace fulmar::ctl
