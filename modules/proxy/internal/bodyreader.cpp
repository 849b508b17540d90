// Reads fixed-length, chunked and close-delimited bodies.

#include "fulmar/proxy/bodyreader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fulmar::proxy {

body_reader::body_reader(connection &Source, body_framing Wanted)
    : Connection(Source), Framing(Wanted), Remaining(Wanted.Length) {
  const bool Empty = Framing.Kind == framing_kind::None ||
                     (Framing.Kind == framing_kind::Fixed && Remaining == 0);
  if (Empty)
    State = body_state::End;
}

body_piece body_reader::next() {
  consumeLast();
  if (State != body_state::Waiting)
    return {.State = State};
  switch (Framing.Kind) {
  case framing_kind::Chunked:
    return nextChunk();
  case framing_kind::Fixed:
    return nextRaw(Remaining);
  case framing_kind::UntilClose:
    return nextRaw(std::numeric_limits<std::uint64_t>::max());
  case framing_kind::None:
    break;
  }
  return {.State = State};
}

body_piece body_reader::nextRaw(std::uint64_t Limit) {
  const std::string_view Bytes = Connection.unread().substr(
      0, static_cast<std::size_t>(
             std::min<std::uint64_t>(Limit, Connection.unread().size())));
  if (Bytes.empty())
    return {.State = body_state::Waiting};
  Begun = true;
  Occupied = Bytes.size();
  if (Framing.Kind == framing_kind::Fixed) {
    Remaining -= Bytes.size();
    if (Remaining == 0)
      State = body_state::End;
  }
  return {.State = body_state::Data, .Bytes = Bytes};
}

body_piece body_reader::nextChunk() {
  const auto Step = Decoder.decode(Connection.unread());
  Begun = Begun || Step.Consumed > 0;
  if (Step.State == body_state::Data) {
    Occupied = Step.Consumed;
    return {.State = body_state::Data, .Bytes = Step.Data};
  }
  Connection.consume(Step.Consumed);
  State = Step.State;
  return {.State = State};
}

void body_reader::consumeLast() {
  Connection.consume(std::exchange(Occupied, 0));
}

body_piece body_reader::read(base::instant Deadline) {
  while (true) {
    const body_piece Piece = next();
    if (Piece.State != body_state::Waiting)
      return Piece;
    const io_status Status = Connection.fill(Deadline);
    if (Status == io_status::TimedOut)
      return {.State = body_state::Waiting};
    if (Status != io_status::Done)
      return {.State = inputEnded(Status)};
  }
}

body_state body_reader::inputEnded(io_status How) {
  if (State == body_state::Waiting)
    State = Framing.Kind == framing_kind::UntilClose && How == io_status::Closed
                ? body_state::End
                : body_state::Truncated;
  return State;
}

} // namespace fulmar::proxy
