// A buffered connection whose reads and writes obey deadlines and tell an
// orderly end of input from a broken connection. POCO's HTTP streams report
// both, and a time-out, as the ordinary end of a body.

#ifndef FULMAR_PROXY_CONNECTION_H
#define FULMAR_PROXY_CONNECTION_H

#include "fulmar/base/result.h"
#include "fulmar/base/time.h"
#include "fulmar/proxy/proxytypes.h"

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace fulmar::proxy {

/// Owned by one thread: not thread-safe.
class connection {
public:
  explicit connection(const Poco::Net::StreamSocket &Connected);

  /// Fails with Unreachable when no connection was made in time.
  static base::result<std::unique_ptr<connection>>
  open(const std::string &Address, base::duration Timeout);

  /// Waits until bytes arrive and appends them to unread().
  io_status fill(base::instant Deadline);
  /// As fill(), without waiting: TimedOut when nothing has arrived.
  io_status fillNow();
  [[nodiscard]] std::string_view unread() const;
  void consume(std::size_t Bytes);

  io_status send(std::string_view Bytes, base::instant Deadline);
  /// Sends what the peer takes now and removes it from \p Rest; TimedOut when
  /// the peer takes nothing.
  io_status sendSome(std::string_view &Rest);
  [[nodiscard]] std::uint64_t bytesSent() const { return Sent; }

  /// True when the peer has closed its side, whether or not all of its bytes
  /// were read.
  [[nodiscard]] bool closedByPeer() const;
  /// True when nothing arrived on an idle connection and it is open.
  [[nodiscard]] bool usable() const;
  /// Resets the connection, so that the peer can't take the transfer for
  /// complete.
  void breakOff();
  /// Announces the end of output and reads on until the peer closes, so that
  /// it receives the last answer even while it still sends.
  void closeGracefully(base::duration Patience);

  [[nodiscard]] int descriptor() const;
  [[nodiscard]] std::string peer() const;

private:
  Poco::Net::StreamSocket Socket;
  // Unread bytes are Buffer[Begin, End).
  std::string Buffer;
  std::size_t Begin = 0;
  std::size_t End = 0;
  std::uint64_t Sent = 0;
};

/// The steady clock that deadlines of connections are compared with.
base::instant currentInstant();

/// Waits until \p Descriptor shows one of \p Events (poll(2)). Returns the
/// events seen; 0 at the deadline.
int awaitEvents(int Descriptor, int Events, base::instant Deadline);

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_CONNECTION_H
