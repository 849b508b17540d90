// The chunked transfer coding as a state machine over bytes.

#include "fulmar/proxy/chunkdecoder.h"

#include <algorithm>

namespace fulmar::proxy {

namespace {

constexpr std::size_t MaxIgnoredBytes = 8192;
constexpr std::uint64_t MaxChunkBytes = std::uint64_t{1} << 48;

int hexValue(char Byte) {
  constexpr int Ten = 10;
  if (Byte >= '0' && Byte <= '9')
    return Byte - '0';
  if (Byte >= 'a' && Byte <= 'f')
    return Byte - 'a' + Ten;
  if (Byte >= 'A' && Byte <= 'F')
    return Byte - 'A' + Ten;
  return -1;
}

} // namespace

chunk_decoder::step chunk_decoder::decode(std::string_view Input) {
  std::size_t Position = 0;
  while (Part != part::Done && Part != part::Bad) {
    if (Position == Input.size())
      return {.Consumed = Position};
    if (Part == part::Data) {
      const auto Size = static_cast<std::size_t>(
          std::min<std::uint64_t>(Remaining, Input.size() - Position));
      Remaining -= Size;
      if (Remaining == 0)
        Part = part::DataReturn;
      return {.Consumed = Position + Size,
              .State = body_state::Data,
              .Data = Input.substr(Position, Size)};
    }
    Part = follow(Input[Position++]);
  }
  return {.Consumed = Position,
          .State =
              Part == part::Done ? body_state::End : body_state::Malformed};
}

chunk_decoder::part chunk_decoder::follow(char Byte) {
  switch (Part) {
  case part::SizeStart:
  case part::Size:
  case part::Extension:
    return followSize(Byte);
  case part::SizeEnd:
    if (Byte != '\n')
      return part::Bad;
    return Remaining == 0 ? part::TrailerStart : part::Data;
  case part::DataReturn:
    return Byte == '\r' ? part::DataEnd : part::Bad;
  case part::DataEnd:
    return Byte == '\n' ? part::SizeStart : part::Bad;
  case part::TrailerStart:
  case part::Trailer:
  case part::TrailerEnd:
    return followTrailer(Byte);
  case part::LastReturn:
    return Byte == '\n' ? part::Done : part::Bad;
  case part::Data:
  case part::Done:
  case part::Bad:
    break;
  }
  return part::Bad;
}

chunk_decoder::part chunk_decoder::followSize(char Byte) {
  if (Part == part::Extension) {
    if (Byte == '\r')
      return part::SizeEnd;
    return Byte == '\n' || ++Ignored > MaxIgnoredBytes ? part::Bad
                                                       : part::Extension;
  }
  constexpr std::uint64_t Base = 16;
  const int Digit = hexValue(Byte);
  if (Digit >= 0) {
    // Part is SizeStart only before the first digit of a chunk's size.
    const std::uint64_t Before = Part == part::SizeStart ? 0 : Remaining;
    Remaining = Before * Base + static_cast<std::uint64_t>(Digit);
    return Remaining > MaxChunkBytes ? part::Bad : part::Size;
  }
  if (Part == part::SizeStart)
    return part::Bad;
  if (Byte == '\r')
    return part::SizeEnd;
  return Byte == ';' || Byte == ' ' || Byte == '\t' ? part::Extension
                                                    : part::Bad;
}

chunk_decoder::part chunk_decoder::followTrailer(char Byte) {
  if (Part == part::TrailerEnd)
    return Byte == '\n' ? part::TrailerStart : part::Bad;
  if (Byte == '\r')
    return Part == part::TrailerStart ? part::LastReturn : part::TrailerEnd;
  return Byte == '\n' || ++Ignored > MaxIgnoredBytes ? part::Bad
                                                     : part::Trailer;
}

} // namespace fulmar::proxy
