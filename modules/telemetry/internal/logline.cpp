// Quoting and joining of log fields.

#include "internal/logline.h"

#include <algorithm>
#include <array>

namespace fulmar::telemetry {

namespace {

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info",
                                                        "warning", "error"};

bool isPlain(char Character) {
  const bool Letter = (Character >= 'a' && Character <= 'z') ||
                      (Character >= 'A' && Character <= 'Z');
  const bool Digit = Character >= '0' && Character <= '9';
  return Letter || Digit ||
         std::string_view("-_.:/").find(Character) != std::string_view::npos;
}

void appendEscaped(std::string &Text, char Character) {
  constexpr std::string_view Hex = "0123456789abcdef";
  const auto Byte = static_cast<unsigned char>(Character);
  if (Character == '"' || Character == '\\') {
    Text += '\\';
    Text += Character;
  } else if (Character == '\n') {
    Text += "\\n";
  } else if (Byte < 0x20 || Byte >= 0x7f) {
    Text += "\\x";
    Text += Hex[Byte >> 4U];
    Text += Hex[Byte & 0xfU];
  } else {
    Text += Character;
  }
}

void appendField(std::string &Text, std::string_view Key,
                 std::string_view Value) {
  if (!Text.empty())
    Text += ' ';
  for (const char Character : Key)
    Text += isPlain(Character) ? Character : '_';
  Text += '=';
  Text += logValue(Value);
}

} // namespace

std::string logValue(std::string_view Value) {
  if (!Value.empty() && std::all_of(Value.begin(), Value.end(), isPlain))
    return std::string(Value);
  std::string Text = "\"";
  for (const char Character : Value)
    appendEscaped(Text, Character);
  return Text + '"';
}

std::string logLine(log_level Level, std::string_view Instance,
                    std::string_view Component, std::string_view Event,
                    std::span<const log_field> Fields) {
  std::string Text;
  appendField(Text, "level", LevelNames[static_cast<std::size_t>(Level)]);
  appendField(Text, "instance", Instance);
  appendField(Text, "component", Component);
  appendField(Text, "event", Event);
  for (const auto &[Key, Value] : Fields)
    appendField(Text, Key, Value);
  return Text;
}

} // namespace fulmar::telemetry
