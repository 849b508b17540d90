// Streams bodies between a caller and a target in bounded memory.

#include "bodytransfer.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace fulmar::proxy {

namespace {

/// Waits for events on both connections; false at the deadline.
bool awaitBoth(std::array<pollfd, 2> &Watched, base::instant Deadline) {
  constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
  const auto Left = std::max<std::int64_t>(
      0, (Deadline - currentInstant()).count() / MicrosecondsPerMillisecond);
  const int Ready =
      ::poll(Watched.data(), Watched.size(), static_cast<int>(Left) + 1);
  return Ready > 0 || (Ready < 0 && errno == EINTR);
}

/// An upload under way.
class upload {
public:
  upload(caller_exchange &From, connection &To, const body_framing &Framing,
         const upload_limits &Bounds)
      : Caller(From), Target(To), Writer(Framing), Limits(Bounds) {}

  transfer_end run() {
    while (true) {
      const auto Read = readPiece();
      if (Read == body_state::End)
        return sendBytes(Writer.terminator());
      if (Read == body_state::Truncated)
        return transfer_end::CallerBroke;
      if (Read == body_state::Malformed)
        return transfer_end::CallerMalformed;
      const transfer_end Step =
          Read == body_state::Data ? forward() : awaitInput();
      if (Step != transfer_end::Done)
        return Step;
    }
  }

private:
  body_state readPiece() {
    const body_piece Next = Caller.body().next();
    Piece = Next.Bytes;
    return Next.State;
  }

  transfer_end forward() {
    Total += Piece.size();
    if (Total > Limits.MaxBytes)
      return transfer_end::CallerTooLarge;
    return sendBytes(Writer.encode(Piece));
  }

  [[nodiscard]] base::instant stepDeadline() const {
    return std::min(Limits.Deadline, currentInstant() + Limits.IdleTimeout);
  }

  transfer_end awaitInput() {
    std::array<pollfd, 2> Watched = {
        pollfd{Caller.caller().descriptor(), POLLIN, 0},
        pollfd{Target.descriptor(), POLLIN | POLLRDHUP, 0}};
    if (!awaitBoth(Watched, stepDeadline()))
      return transfer_end::TimedOut;
    if (Watched[1].revents != 0)
      return transfer_end::EarlyAnswer;
    const io_status Status = Caller.caller().fillNow();
    if (Status == io_status::Closed || Status == io_status::Failed)
      Caller.body().inputEnded(Status);
    return transfer_end::Done;
  }

  transfer_end sendBytes(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const io_status Status = Target.sendSome(Bytes);
      // What the target answered before it closed is still to be read.
      if (Status == io_status::Failed)
        return transfer_end::EarlyAnswer;
      if (Status == io_status::Done)
        continue;
      std::array<pollfd, 2> Watched = {
          pollfd{Caller.caller().descriptor(), 0, 0},
          pollfd{Target.descriptor(), POLLOUT | POLLIN | POLLRDHUP, 0}};
      if (!awaitBoth(Watched, stepDeadline()))
        return transfer_end::TimedOut;
      if ((Watched[0].revents & (POLLHUP | POLLERR)) != 0)
        return transfer_end::CallerBroke;
      if ((Watched[1].revents & (POLLIN | POLLRDHUP)) != 0)
        return transfer_end::EarlyAnswer;
    }
    return transfer_end::Done;
  }

  caller_exchange &Caller;
  connection &Target;
  body_writer Writer;
  const upload_limits Limits;
  std::string_view Piece;
  std::uint64_t Total = 0;
};

transfer_end awaitDownload(target_exchange &Exchange, caller_exchange &Caller,
                           base::duration IdleTimeout) {
  std::array<pollfd, 2> Watched = {
      pollfd{Caller.caller().descriptor(), POLLRDHUP, 0},
      pollfd{Exchange.target().descriptor(), POLLIN, 0}};
  if (!awaitBoth(Watched, currentInstant() + IdleTimeout))
    return transfer_end::TimedOut;
  if (Watched[0].revents != 0)
    return transfer_end::CallerBroke;
  const io_status Status = Exchange.target().fillNow();
  if (Status == io_status::Closed || Status == io_status::Failed)
    Exchange.body().inputEnded(Status);
  return transfer_end::Done;
}

} // namespace

transfer_end transferUpload(caller_exchange &Caller, connection &Target,
                            const body_framing &Framing,
                            const upload_limits &Limits) {
  return upload(Caller, Target, Framing, Limits).run();
}

transfer_end transferDownload(target_exchange &Exchange,
                              caller_exchange &Caller,
                              base::duration IdleTimeout) {
  while (true) {
    const body_piece Piece = Exchange.body().next();
    if (Piece.State == body_state::End)
      return Caller.finish() == io_status::Done ? transfer_end::Done
                                                : transfer_end::CallerBroke;
    if (Piece.State == body_state::Data) {
      if (Caller.sendPiece(Piece.Bytes) != io_status::Done)
        return transfer_end::CallerBroke;
      continue;
    }
    if (Piece.State != body_state::Waiting)
      return transfer_end::TargetBroke;
    const transfer_end Step = awaitDownload(Exchange, Caller, IdleTimeout);
    if (Step != transfer_end::Done)
      return Step;
  }
}

} // namespace fulmar::proxy
