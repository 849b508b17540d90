// One request of a caller and the answer to it, on the caller's connection.

#ifndef FULMAR_PROXY_CALLEREXCHANGE_H
#define FULMAR_PROXY_CALLEREXCHANGE_H

#include "fulmar/base/time.h"
#include "fulmar/proxy/bodyreader.h"
#include "fulmar/proxy/bodywriter.h"
#include "fulmar/proxy/connection.h"
#include "fulmar/proxy/proxytypes.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar::proxy {

struct caller_exchange_options {
  /// Closes the connection after the answer when it is set by then.
  const std::atomic<bool> *Draining = nullptr;
  /// Longest wait for a caller that takes no byte of its answer.
  base::duration SendTimeout = std::chrono::seconds(30);
};

/// Owned by the thread that serves the connection.
class caller_exchange {
public:
  caller_exchange(connection &Connected, const Poco::Net::HTTPRequest &Head,
                  body_framing Framing, caller_exchange_options Settings);

  [[nodiscard]] const Poco::Net::HTTPRequest &request() const {
    return Request;
  }
  [[nodiscard]] connection &caller() { return Caller; }
  body_reader &body() { return Body; }

  /// Sends 100 Continue where the caller waits for it. Call before reading
  /// the body.
  io_status invite();
  /// Appends the whole body to \p Text. Data when it exceeds \p Limit, End
  /// when complete, Waiting at the deadline, else how it failed.
  body_state readWhole(std::string &Text, std::uint64_t Limit,
                       base::instant Deadline);

  /// Sends a complete answer.
  io_status sendWhole(Poco::Net::HTTPResponse &Response, std::string_view Text);
  /// Sends only the head, e.g. in answer to HEAD.
  io_status sendBare(Poco::Net::HTTPResponse &Response);

  /// Sends the head of an answer whose body follows piece by piece. Without a
  /// \p Length the body is chunked, or ends with the connection for a caller
  /// that speaks HTTP/1.0.
  io_status begin(Poco::Net::HTTPResponse &Response,
                  std::optional<std::uint64_t> Length);
  io_status sendPiece(std::string_view Piece);
  io_status finish();

  /// Resets the connection so that no begun answer can look complete.
  void breakOff();
  /// True once any byte of a final answer was sent.
  [[nodiscard]] bool begun() const { return Begun; }
  /// True when the connection can carry another request: both messages are
  /// complete and both sides want it.
  [[nodiscard]] bool reusable() const;

private:
  io_status sendHead(Poco::Net::HTTPResponse &Response, std::string_view Text);
  [[nodiscard]] base::instant sendDeadline() const;
  [[nodiscard]] bool mustClose() const;

  connection &Caller;
  const Poco::Net::HTTPRequest Request;
  const caller_exchange_options Options;
  body_reader Body;
  std::optional<body_writer> Writer;
  bool Invited = false;
  bool Begun = false;
  // The whole answer was handed to the socket.
  bool Finished = false;
  // What the answer's head said; constant from then on.
  bool Closes = true;
  // The answer's end is marked by the end of the connection.
  bool EndsWithConnection = false;
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_CALLEREXCHANGE_H
