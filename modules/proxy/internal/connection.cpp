// Socket input and output with deadlines.

#include "fulmar/proxy/connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace fulmar::proxy {

namespace {

constexpr std::size_t BufferBytes = 65536;

bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

} // namespace

base::instant currentInstant() { return base::steady_clock().now(); }

int awaitEvents(int Descriptor, int Events, base::instant Deadline) {
  pollfd Watched{Descriptor, static_cast<short>(Events), 0};
  while (true) {
    const auto Left = std::max(Deadline - currentInstant(), base::duration(0));
    constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
    constexpr std::int64_t NanosecondsPerMicrosecond = 1000;
    const timespec Wait{Left.count() / MicrosecondsPerSecond,
                        Left.count() % MicrosecondsPerSecond *
                            NanosecondsPerMicrosecond};
    const int Ready = ::ppoll(&Watched, 1, &Wait, nullptr);
    if (Ready >= 0)
      return Ready == 0 ? 0 : Watched.revents;
    if (errno != EINTR)
      return POLLERR;
  }
}

connection::connection(const Poco::Net::StreamSocket &Connected)
    : Socket(Connected) {
  try {
    Socket.setNoDelay(true);
  } catch (const Poco::Exception &) {
    // The peer has gone already; the first read will tell.
  }
}

base::result<std::unique_ptr<connection>>
connection::open(const std::string &Address, base::duration Timeout) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(Address),
                   Poco::Timespan(std::max(Timeout.count(), std::int64_t{1})));
    return std::make_unique<connection>(Socket);
  } catch (const Poco::Exception &Fault) {
    return base::fail(base::error_kind::Unreachable,
                      Address + ": " + Fault.displayText());
  }
}

io_status connection::fillNow() {
  if (Begin == End)
    Begin = End = 0;
  if (Buffer.size() < BufferBytes)
    Buffer.resize(BufferBytes);
  if (End - Begin == Buffer.size())
    return io_status::Done;
  if (End == Buffer.size()) {
    std::copy(Buffer.begin() + static_cast<std::ptrdiff_t>(Begin), Buffer.end(),
              Buffer.begin());
    End -= Begin;
    Begin = 0;
  }
  while (true) {
    const auto Received = ::recv(descriptor(), Buffer.data() + End,
                                 Buffer.size() - End, MSG_DONTWAIT);
    if (Received > 0) {
      End += static_cast<std::size_t>(Received);
      return io_status::Done;
    }
    if (Received == 0)
      return io_status::Closed;
    if (errno != EINTR)
      return wouldBlock() ? io_status::TimedOut : io_status::Failed;
  }
}

io_status connection::fill(base::instant Deadline) {
  while (true) {
    const io_status Status = fillNow();
    if (Status != io_status::TimedOut)
      return Status;
    if (awaitEvents(descriptor(), POLLIN, Deadline) == 0)
      return io_status::TimedOut;
  }
}

std::string_view connection::unread() const {
  return std::string_view(Buffer).substr(Begin, End - Begin);
}

void connection::consume(std::size_t Bytes) {
  Begin += std::min(Bytes, End - Begin);
}

io_status connection::sendSome(std::string_view &Rest) {
  while (true) {
    const auto Taken = ::send(descriptor(), Rest.data(), Rest.size(),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Taken >= 0) {
      Sent += static_cast<std::uint64_t>(Taken);
      Rest.remove_prefix(static_cast<std::size_t>(Taken));
      return io_status::Done;
    }
    if (errno != EINTR)
      return wouldBlock() ? io_status::TimedOut : io_status::Failed;
  }
}

io_status connection::send(std::string_view Bytes, base::instant Deadline) {
  while (!Bytes.empty()) {
    const io_status Status = sendSome(Bytes);
    if (Status == io_status::Failed)
      return Status;
    if (Status == io_status::TimedOut &&
        awaitEvents(descriptor(), POLLOUT, Deadline) == 0)
      return io_status::TimedOut;
  }
  return io_status::Done;
}

bool connection::closedByPeer() const {
  return awaitEvents(descriptor(), POLLRDHUP, base::instant()) != 0;
}

bool connection::usable() const {
  return unread().empty() &&
         awaitEvents(descriptor(), POLLIN | POLLRDHUP, base::instant()) == 0;
}

void connection::breakOff() {
  try {
    // Closing with a linger time of zero resets the connection.
    Socket.setLinger(true, 0);
    Socket.close();
  } catch (const Poco::Exception &) {
    // Broken already.
  }
}

void connection::closeGracefully(base::duration Patience) {
  constexpr std::size_t MaxDrainedBytes = std::size_t{4} << 20;
  const base::instant Deadline = currentInstant() + Patience;
  ::shutdown(descriptor(), SHUT_WR);
  std::size_t Drained = 0;
  while (Drained < MaxDrainedBytes && fill(Deadline) == io_status::Done) {
    Drained += unread().size();
    consume(unread().size());
  }
}

int connection::descriptor() const { return Socket.impl()->sockfd(); }

std::string connection::peer() const {
  try {
    return Socket.peerAddress().toString();
  } catch (const Poco::Exception &) {
    return "gone";
  }
}

} // namespace fulmar::proxy
