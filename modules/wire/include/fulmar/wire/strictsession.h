// An HTTP client session without POCO's silent second attempt: the library's
// own session resends a request head on a new connection when a kept-alive
// one turns out to be closed, which could run a request twice.

#ifndef FULMAR_WIRE_STRICTSESSION_H
#define FULMAR_WIRE_STRICTSESSION_H

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/StreamSocket.h>

namespace fulmar::wire {

/// Speaks HTTP over one connected socket and never reconnects.
class strict_session final : public Poco::Net::HTTPClientSession {
public:
  explicit strict_session(const Poco::Net::StreamSocket &Socket)
      : HTTPClientSession(Socket) {
    setKeepAlive(true);
  }

  /// Bytes that were received but not consumed; a session in step has none
  /// between two exchanges.
  [[nodiscard]] int unreadBytes() const { return buffered(); }

protected:
  int write(const char *Buffer, std::streamsize Length) override {
    // Skips the parent's version, which is the one that reconnects.
    // NOLINTNEXTLINE(bugprone-parent-virtual-call)
    return HTTPSession::write(Buffer, Length);
  }
  [[nodiscard]] bool mustReconnect() const override { return false; }
};

} // namespace fulmar::wire

#endif // FULMAR_WIRE_STRICTSESSION_H
