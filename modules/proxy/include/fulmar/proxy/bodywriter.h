// Encodes the pieces of a message body for the wire. A body that is never
// finished stays visibly incomplete: nothing is written by the destructor.

#ifndef FULMAR_PROXY_BODYWRITER_H
#define FULMAR_PROXY_BODYWRITER_H

#include "fulmar/proxy/proxytypes.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmar::proxy {

class body_writer {
public:
  explicit body_writer(body_framing Wanted) : Framing(Wanted) {}

  /// The bytes to send for \p Piece; may refer to \p Piece itself. Valid until
  /// the next call. Bytes beyond a fixed length are cut off.
  std::string_view encode(std::string_view Piece);
  /// The bytes that mark the end of the body.
  [[nodiscard]] std::string_view terminator() const;
  /// True when a fixed-length body has all of its bytes.
  [[nodiscard]] bool filled() const;

private:
  const body_framing Framing;
  std::uint64_t Written = 0;
  std::string Chunk;
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_BODYWRITER_H
