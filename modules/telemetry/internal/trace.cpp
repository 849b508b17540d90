// W3C trace context, version 00.

#include "fulmar/telemetry/trace.h"

#include <absl/random/random.h>

#include <algorithm>

namespace fulmar::telemetry {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";
constexpr std::size_t TraceIdLength = 32;
constexpr std::size_t SpanIdLength = 16;
/// Version, trace id, span id and flags with three hyphens.
constexpr std::size_t HeaderLength = 55;
constexpr std::size_t SpanIdBegin = 36;
constexpr std::size_t FlagsBegin = 53;

bool isHex(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char Character) {
    return HexDigits.find(Character) != std::string_view::npos;
  });
}

bool isIdentity(std::string_view Text) {
  return isHex(Text) && Text.find_first_not_of('0') != std::string_view::npos;
}

std::string randomIdentity(std::size_t Length) {
  thread_local absl::BitGen Random;
  std::string Text(Length, '0');
  while (!isIdentity(Text))
    for (char &Digit : Text)
      Digit = HexDigits[absl::Uniform<std::size_t>(Random, 0, 16)];
  return Text;
}

} // namespace

std::optional<trace_context> parseTraceparent(std::string_view Header) {
  if (Header.size() != HeaderLength || Header.substr(0, 3) != "00-")
    return std::nullopt;
  if (Header[SpanIdBegin - 1] != '-' || Header[FlagsBegin - 1] != '-')
    return std::nullopt;
  const std::string_view TraceId = Header.substr(3, TraceIdLength);
  const std::string_view SpanId = Header.substr(SpanIdBegin, SpanIdLength);
  const std::string_view Flags = Header.substr(FlagsBegin);
  if (!isIdentity(TraceId) || !isIdentity(SpanId) || !isHex(Flags))
    return std::nullopt;
  return trace_context{.TraceId = std::string(TraceId),
                       .SpanId = std::string(SpanId),
                       .Sampled = HexDigits.find(Flags[1]) % 2 == 1};
}

std::string formatTraceparent(const trace_context &Context) {
  return "00-" + Context.TraceId + "-" + Context.SpanId + "-" +
         (Context.Sampled ? "01" : "00");
}

trace_context startChild(const std::optional<trace_context> &Parent) {
  return {.TraceId = Parent ? Parent->TraceId : randomIdentity(TraceIdLength),
          .SpanId = randomIdentity(SpanIdLength),
          .Sampled = !Parent || Parent->Sampled};
}

} // namespace fulmar::telemetry
