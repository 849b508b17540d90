// One caller's connection: reads requests one after the other, and writes
// their answers in that order. It always reads, so that it notices at once
// when the caller leaves.

#ifndef FULMAR_GATEWAY_INTERNAL_CALLERSESSION_H
#define FULMAR_GATEWAY_INTERNAL_CALLERSESSION_H

#include "internal/exchange.h"
#include "internal/gatewaystate.h"

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace fulmar::gateway {

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
  caller_session(gateway_state &Owner, tcp::socket Accepted);

  void start();
  /// Closes the connection if it takes too long over a request, or is idle for
  /// too long or while the gateway is stopping.
  void checkTimeouts();
  void close();
  /// This instance ends: answers what is still unanswered.
  void expire();
  /// Between two requests, with nothing of the next one read.
  [[nodiscard]] bool idle() const {
    return !Exchange && !Writing && Unparsed.empty() && !RequestBegun;
  }

private:
  using parser = http::request_parser<incremental_body>;

  void read();
  void onBytes(std::string_view Bytes);
  void parse();
  void resetParser();
  void onParseError(error_code Failed);
  void onRequest();
  void respond(caller_response Response);
  void reject(unsigned Status, std::string_view Error);
  /// Writes and then calls \p Written.
  void write(std::string Head, std::string Body,
             std::function<void(caller_session &)> Written);
  void onWritten(bool Keep);
  /// Passes on the next piece of an answer that is not held whole.
  void relayPiece();
  void onPiece(base::result<response_piece> Piece);
  /// Ends the connection so that what was sent can't be taken for whole.
  void abort();
  [[nodiscard]] bool wantsRead() const;
  [[nodiscard]] fleet::caller_limits limits() const;

  gateway_state &State;
  tcp::socket Socket;
  std::optional<parser> Parser;
  std::array<char, 16'384> ReadBuffer{};
  /// Bytes behind the request that is being served.
  std::string Unparsed;
  /// Some byte of the next request has been parsed.
  bool RequestBegun = false;
  bool HeadDone = false;
  bool ContinueSent = false;
  bool Reading = false;
  bool Writing = false;
  bool Closed = false;
  bool KeepAlive = true;
  bool HeadOnly = false;
  /// The answer that is being passed on is framed in chunks.
  bool Chunked = false;
  /// The request's version knows chunks.
  bool SupportsChunked = true;
  buffer_reservation BufferedBytes;
  /// When the present wait began: for a request, its head, its body, or for
  /// the caller to read its answer.
  base::instant WaitSince{};
  /// When the head of the present request was complete.
  base::instant HeadDoneAt{};
  std::shared_ptr<exchange> Exchange;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_CALLERSESSION_H
