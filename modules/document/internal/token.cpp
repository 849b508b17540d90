// Hashes tokens with POCO's PBKDF2 over HMAC-SHA256.

#include "fulmar/document/token.h"

#include <Poco/HMACEngine.h>
#include <Poco/NumberParser.h>
#include <Poco/PBKDF2Engine.h>
#include <Poco/SHA2Engine.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <cctype>
#include <optional>

namespace fulmar::document {

namespace {

constexpr std::string_view Scheme = "pbkdf2-sha256";
constexpr std::size_t MinSaltDigits = 16;
constexpr std::size_t MaxSaltDigits = 128;
constexpr std::size_t KeyDigits = 64;

/// The shape that POCO's HMAC asks of its engine.
class sha256_engine final : public Poco::SHA2Engine {
public:
  // The library prescribes the names.
  // NOLINTNEXTLINE(readability-identifier-naming)
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };
  sha256_engine() : SHA2Engine(SHA_256) {}
};

struct hash_parts {
  unsigned Iterations = 0;
  std::string SaltHex;
};

bool isHex(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(), [](unsigned char Digit) {
    return std::isdigit(Digit) != 0 || (Digit >= 'a' && Digit <= 'f');
  });
}

std::optional<hash_parts> takeApart(const std::string &Hash) {
  const Poco::StringTokenizer Parts(Hash, "$");
  constexpr std::size_t PartCount = 4;
  if (Parts.count() != PartCount || Parts[0] != Scheme)
    return std::nullopt;
  hash_parts Found{.SaltHex = Parts[2]};
  const bool Sound =
      Poco::NumberParser::tryParseUnsigned(Parts[1], Found.Iterations) &&
      Found.Iterations >= MinTokenIterations &&
      Found.Iterations <= MaxTokenIterations &&
      Parts[2].size() >= MinSaltDigits && Parts[2].size() <= MaxSaltDigits &&
      isHex(Parts[2]) && Parts[3].size() == KeyDigits && isHex(Parts[3]);
  return Sound ? std::optional(Found) : std::nullopt;
}

} // namespace

std::string hashToken(std::string_view Token, const std::string &SaltHex,
                      unsigned Iterations) {
  Poco::PBKDF2Engine<Poco::HMACEngine<sha256_engine>> Engine(SaltHex,
                                                             Iterations);
  Engine.update(Token.data(), Token.size());
  return std::string(Scheme) + "$" + std::to_string(Iterations) + "$" +
         SaltHex + "$" + Poco::DigestEngine::digestToHex(Engine.digest());
}

std::string hashTokenLike(std::string_view Token, const std::string &Hash) {
  const auto Parts = takeApart(Hash);
  return Parts ? hashToken(Token, Parts->SaltHex, Parts->Iterations) : "";
}

bool isTokenHash(const std::string &Text) {
  return takeApart(Text).has_value();
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned char Difference = 0;
  for (std::size_t Position = 0; Position < Left.size(); ++Position)
    Difference |= static_cast<unsigned char>(Left[Position] ^ Right[Position]);
  return Difference == 0;
}

bool verifyToken(std::string_view Token, const std::string &Hash) {
  const std::string Computed = hashTokenLike(Token, Hash);
  return !Computed.empty() && equalInConstantTime(Computed, Hash);
}

} // namespace fulmar::document
