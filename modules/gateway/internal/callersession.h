// A caller's connection. Reads requests one after the other and writes their
// responses in the same order. Always keeps a read pending, so that a
// disconnect of the caller is noticed at once.

#ifndef FULMAR_GATEWAY_INTERNAL_CALLERSESSION_H
#define FULMAR_GATEWAY_INTERNAL_CALLERSESSION_H

#include "internal/exchange.h"
#include "internal/gatewaystate.h"

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace fulmar::gateway {

/// Who is at the other end of a session.
enum class session_peer : std::uint8_t {
  Caller,
  /// Another entry, which passes its callers' requests on.
  Entry,
};

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
  caller_session(gateway_state &Owner, tcp::socket Accepted,
                 session_peer OtherEnd);

  void start();
  /// Closes the connection if a request arrives too slowly, or if it has been
  /// idle for too long; idle connections are closed earlier while the gateway
  /// is stopping.
  void checkTimeouts();
  void close();
  /// Called when the grace period ends: answers the request that is still
  /// running.
  void expire();
  /// True between two requests, when no byte of the next one has been read.
  [[nodiscard]] bool idle() const {
    return !Exchange && !Writing && Unparsed.empty() && !RequestBegun;
  }

private:
  using parser = http::request_parser<incremental_body>;

  void read();
  void onBytes(std::string_view Bytes);
  void parse();
  void resetParser();
  /// Applies the limits in force. The connection may have been idle since an
  /// earlier plan; a request that has begun keeps its limits.
  void beginRequest();
  void onParseError(error_code Failed);
  void onRequest();
  void respond(caller_response Response);
  /// Rejects a request that exceeds a limit and logs whose plan's limit it is.
  void rejectTooLarge(unsigned Status, std::string_view Error);
  void reject(unsigned Status, std::string_view Error);
  /// Writes \p Head and \p Body, then calls \p Written.
  void write(std::string Head, std::string Body,
             std::function<void(caller_session &)> Written);
  void onWritten(bool Keep);
  /// Requests the next piece of a streamed response.
  void relayPiece();
  void onPiece(base::result<response_piece> Piece);
  /// Resets the connection, so that the caller can't take the sent part for a
  /// complete response.
  void abort();
  [[nodiscard]] bool wantsRead() const;
  [[nodiscard]] fleet::caller_limits limits() const;

  gateway_state &State;
  tcp::socket Socket;
  session_peer Peer;
  std::optional<parser> Parser;
  std::array<char, 16'384> ReadBuffer{};
  /// Bytes received after the request that is being served.
  std::string Unparsed;
  /// At least one byte of the next request has been parsed.
  bool RequestBegun = false;
  /// Version of the plan whose limits the current request is held to; 0 while
  /// there was no plan.
  fleet::plan_version LimitsVersion = 0;
  bool HeadDone = false;
  bool ContinueSent = false;
  bool Reading = false;
  bool Writing = false;
  bool Closed = false;
  bool KeepAlive = true;
  /// The connection has carried a request before the current one.
  bool Reused = false;
  /// The current request began on a reused connection after the stopping
  /// gateway had ceased to accept: it might not finish in the grace period.
  bool TooLateToServe = false;
  bool HeadOnly = false;
  /// The streamed response uses chunked transfer encoding.
  bool Chunked = false;
  /// The request's HTTP version supports chunked transfer encoding.
  bool SupportsChunked = true;
  buffer_reservation BufferedBytes;
  /// Start of the current wait: for a request, its head or its body, or for the
  /// caller to read the response.
  base::instant WaitSince{};
  /// When the head of the current request was complete.
  base::instant HeadDoneAt{};
  std::shared_ptr<exchange> Exchange;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_CALLERSESSION_H
