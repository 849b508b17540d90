// Serves the requests of one caller's connection, one after the other.

#ifndef FULMAR_PROXY_FRONTCONNECTION_H
#define FULMAR_PROXY_FRONTCONNECTION_H

#include "fulmar/proxy/callerexchange.h"
#include "fulmar/proxy/connection.h"
#include "fulmar/proxy/httpfront.h"
#include "inflightlist.h"
#include "stopsignal.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServerConnection.h>

#include <atomic>
#include <map>
#include <string>
#include <utility>

namespace fulmar::proxy {

/// What all connections of a server share.
struct front_state {
  explicit front_state(http_front::forward_handler Handler)
      : Forward(std::move(Handler)) {}

  // Constant once the server has started.
  http_front_options Options;
  const http_front::forward_handler Forward;
  // By path, then by method.
  std::map<std::string, std::map<std::string, http_front::plain_handler>>
      Handlers;

  std::atomic<bool> Draining{false};
  stop_signal Closing;
  in_flight_list InFlight;
};

class front_connection final : public Poco::Net::TCPServerConnection {
public:
  front_connection(const Poco::Net::StreamSocket &Socket, front_state &Shared);

  void run() override;

private:
  /// False when the connection ends instead.
  bool awaitRequest();
  /// Serves one request; false when it was the connection's last.
  bool serveRequest();
  base::result<Poco::Net::HTTPRequest> readHead();
  bool serveExchange(const Poco::Net::HTTPRequest &Request,
                     body_framing Framing);
  void servePlain(caller_exchange &Exchange);
  /// Answers a head that could not be understood.
  void refuseHead(const base::error &Fault);

  front_state &State;
  connection Caller;
  const std::string Peer;
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_FRONTCONNECTION_H
