// Decoder of the chunked transfer coding (RFC 9112, section 7.1). Unlike
// POCO's stream it never takes a malformed or missing chunk for the end.

#ifndef FULMAR_PROXY_CHUNKDECODER_H
#define FULMAR_PROXY_CHUNKDECODER_H

#include "fulmar/proxy/proxytypes.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace fulmar::proxy {

class chunk_decoder {
public:
  struct step {
    /// Bytes of the input that are done with, Data included.
    std::size_t Consumed = 0;
    /// Data, End, Waiting (for more input) or Malformed.
    body_state State = body_state::Waiting;
    std::string_view Data;
  };

  /// Decodes up to the end of the next piece of data.
  step decode(std::string_view Input);

private:
  enum class part : std::uint8_t {
    SizeStart,
    Size,
    Extension,
    SizeEnd,
    Data,
    DataReturn,
    DataEnd,
    TrailerStart,
    Trailer,
    TrailerEnd,
    LastReturn,
    Done,
    Bad,
  };

  /// The part that follows \p Byte, which is not data.
  part follow(char Byte);
  part followSize(char Byte);
  part followTrailer(char Byte);

  part Part = part::SizeStart;
  // Bytes of the current chunk that are still to come.
  std::uint64_t Remaining = 0;
  // Bytes of extensions and trailers so far; bounded.
  std::size_t Ignored = 0;
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_CHUNKDECODER_H
