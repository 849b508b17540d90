// Computes fingerprints as chained digests, so that moving characters from one
// field to the next changes the result.

#include "fulmar/routing/fingerprint.h"

#include "fulmar/base/rendezvous.h"

#include <array>
#include <charconv>

namespace fulmar::routing {

namespace {

constexpr std::size_t TextLength = 16;
constexpr int Hexadecimal = 16;
/// Different seeds, so that keys and contents do not collide.
constexpr std::uint64_t KeySeed = 1;
constexpr std::uint64_t ContentSeed = 2;

} // namespace

std::uint64_t fingerprintOfKey(std::string_view Service, std::string_view Key) {
  return base::digest(Key, base::digest(Service, KeySeed));
}

std::uint64_t fingerprintOfContent(std::string_view Method,
                                   std::string_view Path,
                                   std::string_view Body) {
  const std::uint64_t Line =
      base::digest(Path, base::digest(Method, ContentSeed));
  return base::digest(Body, Line);
}

std::string fingerprintText(std::uint64_t Fingerprint) {
  std::array<char, TextLength> Digits{};
  const auto Written = std::to_chars(
      Digits.data(), Digits.data() + Digits.size(), Fingerprint, Hexadecimal);
  const std::string Text(Digits.data(), Written.ptr);
  return std::string(TextLength - Text.size(), '0') + Text;
}

std::optional<std::uint64_t> parseFingerprint(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Value, Hexadecimal);
  if (Text.size() != TextLength || Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace fulmar::routing
