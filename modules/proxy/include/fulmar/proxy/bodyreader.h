// Reads one message body from a connection and proves its completeness.

#ifndef FULMAR_PROXY_BODYREADER_H
#define FULMAR_PROXY_BODYREADER_H

#include "fulmar/proxy/chunkdecoder.h"
#include "fulmar/proxy/connection.h"
#include "fulmar/proxy/proxytypes.h"

#include <cstddef>

namespace fulmar::proxy {

class body_reader {
public:
  body_reader(connection &Source, body_framing Framing);

  /// The next piece among the bytes that have arrived.
  body_piece next();
  /// As next(), but waits for input until \p Deadline; Waiting when it passed.
  body_piece read(base::instant Deadline);
  /// Tells that the connection ended with \p How; decides what that means.
  body_state inputEnded(io_status How);

  [[nodiscard]] bool complete() const { return State == body_state::End; }
  [[nodiscard]] const body_framing &framing() const { return Framing; }
  /// True once a byte of the body was read.
  [[nodiscard]] bool begun() const { return Begun; }

private:
  body_piece nextRaw(std::uint64_t Limit);
  body_piece nextChunk();
  void consumeLast();

  connection &Connection;
  const body_framing Framing;
  chunk_decoder Decoder;
  body_state State = body_state::Waiting;
  // Bytes of a fixed-length body that are still to come.
  std::uint64_t Remaining;
  // Bytes of the connection's buffer that the last piece still occupies.
  std::size_t Occupied = 0;
  bool Begun = false;
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_BODYREADER_H
