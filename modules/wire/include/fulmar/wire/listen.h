// Opens listening sockets that refuse to share a port with another process.

#ifndef FULMAR_WIRE_LISTEN_H
#define FULMAR_WIRE_LISTEN_H

#include <Poco/Net/ServerSocket.h>

#include <string>

namespace fulmar::wire {

/// Listens on \p Address (IP:PORT). POCO's own constructor sets SO_REUSEPORT,
/// which lets two processes take the same port without an error. Throws
/// Poco::Exception.
inline Poco::Net::ServerSocket listenOn(const std::string &Address) {
  constexpr int Backlog = 1024;
  constexpr bool ReuseAddress = true;
  constexpr bool ReusePort = false;
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Address), ReuseAddress, ReusePort);
  Socket.listen(Backlog);
  return Socket;
}

} // namespace fulmar::wire

#endif // FULMAR_WIRE_LISTEN_H
