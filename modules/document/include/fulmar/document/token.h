// Hashing of teams' tokens: PBKDF2 with HMAC-SHA256. A hash is written as
// pbkdf2-sha256$ITERATIONS$SALT$KEY with salt and key in hexadecimal.

#ifndef FULMAR_DOCUMENT_TOKEN_H
#define FULMAR_DOCUMENT_TOKEN_H

#include <string>
#include <string_view>

namespace fulmar::document {

inline constexpr unsigned MinTokenIterations = 1000;
inline constexpr unsigned MaxTokenIterations = 1'000'000;
inline constexpr unsigned DefaultTokenIterations = 10'000;

/// Hashes \p Token with \p SaltHex, at least 16 hexadecimal digits.
std::string hashToken(std::string_view Token, const std::string &SaltHex,
                      unsigned Iterations = DefaultTokenIterations);
/// Hashes \p Token with the salt and iterations of \p Hash; empty when \p Hash
/// is malformed. Equal to \p Hash when the token is the right one.
std::string hashTokenLike(std::string_view Token, const std::string &Hash);

[[nodiscard]] bool isTokenHash(const std::string &Text);
/// Takes the same time wherever two texts of equal length differ.
[[nodiscard]] bool equalInConstantTime(std::string_view Left,
                                       std::string_view Right);
[[nodiscard]] bool verifyToken(std::string_view Token, const std::string &Hash);

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_TOKEN_H
