// Encodes fixed-length, chunked and close-delimited bodies.

#include "fulmar/proxy/bodywriter.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace fulmar::proxy {

std::string_view body_writer::encode(std::string_view Piece) {
  if (Framing.Kind == framing_kind::None || Piece.empty())
    return {};
  if (Framing.Kind == framing_kind::Fixed)
    Piece = Piece.substr(0, static_cast<std::size_t>(std::min<std::uint64_t>(
                                Piece.size(), Framing.Length - Written)));
  Written += Piece.size();
  if (Framing.Kind != framing_kind::Chunked)
    return Piece;
  constexpr int Hexadecimal = 16;
  std::array<char, Hexadecimal> Size{};
  const auto Digits = std::to_chars(Size.data(), Size.data() + Size.size(),
                                    Piece.size(), Hexadecimal);
  Chunk.assign(Size.data(), Digits.ptr);
  Chunk.append("\r\n").append(Piece).append("\r\n");
  return Chunk;
}

std::string_view body_writer::terminator() const {
  return Framing.Kind == framing_kind::Chunked ? "0\r\n\r\n"
                                               : std::string_view();
}

bool body_writer::filled() const {
  return Framing.Kind != framing_kind::Fixed || Written == Framing.Length;
}

} // namespace fulmar::proxy
