// A persistent connection to a target, on which one call runs at a time.
//
// A read is always pending, except while a response is streamed piece by piece.
// Bytes that arrive when no call is running, or after a complete response,
// belong to no request: the connection is closed. A response with another
// request's id is skipped, and the next one is awaited. On a reused connection,
// a response without an id may be a late duplicate of an earlier one and is not
// accepted.
//
// Memory use is limited: a response that exceeds the limit is handed over
// incomplete, to be read in pieces. Bytes that are no HTTP response end the
// call.

#ifndef FULMAR_GATEWAY_INTERNAL_TARGETCONNECTION_H
#define FULMAR_GATEWAY_INTERNAL_TARGETCONNECTION_H

#include "fulmar/base/result.h"
#include "fulmar/gateway/headernames.h"
#include "fulmar/placement/announcedlimit.h"
#include "internal/bufferbudget.h"
#include "internal/httptypes.h"
#include "internal/incrementalbody.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fulmar::gateway {

/// Maximum size of a response body that is buffered completely.
inline constexpr std::size_t MaxBufferedResponseBytes = std::size_t(256) << 10U;

/// Both ends of a connection.
struct target_address {
  tcp::endpoint Remote;
  /// IP address of the near end; empty if the system chooses it.
  std::string Source;
};

struct target_call {
  /// Start line and headers, including the empty line.
  std::string Head;
  shared_body Body;
  /// Id that the response must carry; empty for a probe, whose response carries
  /// none.
  std::string RequestId;
  placement::response_kind Kind = placement::response_kind::Request;
  /// HEAD: the response has no body.
  bool HeadOnly = false;
  /// The call fails after this time; 0 if its owner enforces a deadline.
  base::duration Timeout{};
};

struct target_response {
  unsigned Status = 0;
  std::string Reason;
  http::fields Fields;
  std::string Body;
  /// False if Body is only a first part; the rest is read by readPiece().
  bool Complete = true;
};

/// A further part of a response that is not buffered completely.
struct response_piece {
  std::string Bytes;
  bool Last = false;
};

/// The head of a response, as seen by a response_observer. References are valid
/// during the call only.
struct observed_response {
  const std::string &ConnectionKey;
  placement::response_kind Kind = placement::response_kind::Request;
  /// False for a response to another request, such as a late duplicate.
  bool AnswersCall = true;
  unsigned Status = 0;
  const http::fields &Fields;
};

class target_connection
    : public std::enable_shared_from_this<target_connection> {
public:
  /// Fails with Unreachable if no byte can have reached the target, and with
  /// OutcomeUnknown or TruncatedAnswer if the target may have run the request.
  using handler = std::function<void(base::result<target_response>)>;
  using piece_handler = std::function<void(base::result<response_piece>)>;
  /// Sees each final response of the target, including responses to other
  /// requests.
  using response_observer = std::function<void(const observed_response &)>;

  target_connection(eventloop::loop &OwningLoop, std::string TargetKey,
                    target_address Ends, const header_names &Names,
                    const std::shared_ptr<buffer_budget> &Budget,
                    const response_observer &ResponseObserver);

  /// Sends the request, after connecting if necessary. \p Done is called once,
  /// unless the connection is closed before; never from within this call.
  void call(target_call Call, handler Done);
  /// After an incomplete response: \p Done gets the next piece, or the error
  /// that ended the response. It is not called once the connection is closed.
  /// The target's data is read no faster than pieces are requested.
  void readPiece(piece_handler Done);
  /// Closes the connection; drops a running call without calling its handler.
  void close();

  [[nodiscard]] const std::string &key() const { return Key; }
  /// True if idle, connected and ready for another call.
  [[nodiscard]] bool reusable() const {
    return Connected && !Done && !Streaming && !Unusable && !Writing &&
           Socket.is_open();
  }
  [[nodiscard]] base::instant idleSince() const { return IdleSince; }
  [[nodiscard]] base::duration idleLimit() const { return IdleLimit; }
  [[nodiscard]] bool connected() const { return Connected; }
  /// The target's address refused the connection.
  [[nodiscard]] bool refused() const { return Refused; }
  /// Prevents reuse of the connection.
  void markUnusable() { Unusable = true; }

private:
  using parser = http::response_parser<incremental_body>;

  void connect();
  error_code bindSource();
  void write();
  void read();
  [[nodiscard]] bool wantsRead() const;
  void onBytes(std::string_view Bytes);
  /// Feeds the parser; false if more bytes are needed or the call has ended.
  bool parse();
  void onReadError(error_code Failed);
  void onEnd();
  void onBrokenEnd(error_code Failed);
  void onResponse();
  void notifyObserver() const;
  /// The body is too large to be buffered: hands over its first part.
  void startStreaming();
  /// Skips an interim response or another request's, and awaits the next one.
  /// Fails the call if too many were skipped.
  void skipResponse();
  [[nodiscard]] bool hasValidStatus() const;
  [[nodiscard]] bool isInterim() const;
  [[nodiscard]] bool isForOtherRequest() const;
  [[nodiscard]] bool isUnverified() const;
  target_response takeResponse();
  void resetParser();
  void applyKeepAlive(const http::fields &Fields);
  void finish(base::result<target_response> Result);
  void deliverPiece();
  void endStream(base::result<response_piece> Piece);

  eventloop::loop &Loop;
  std::string Key;
  target_address Address;
  const header_names &HeaderNames;
  const response_observer &Observer;
  tcp::socket Socket;
  eventloop::timer ConnectTimer;
  eventloop::timer CallTimer;
  bool Connected = false;
  bool Refused = false;
  bool Reading = false;
  bool Writing = false;
  bool WriteFailed = false;
  /// The target has ended the connection while the request is being written.
  bool EndedDuringWrite = false;
  /// Not to be used for another call.
  bool Unusable = false;
  /// The connection has already served a call.
  bool UsedBefore = false;

  target_call Call;
  handler Done;
  std::optional<parser> Parser;
  /// Responses skipped in the current call.
  unsigned SkippedResponses = 0;
  /// An incomplete response has been handed over.
  bool Streaming = false;
  piece_handler OnPiece;
  /// Bytes that the parser has not consumed yet.
  std::string Unparsed;
  buffer_reservation BufferedBytes;
  std::array<char, 8'192> ReadBuffer{};
  base::instant IdleSince{};
  base::duration IdleLimit;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_TARGETCONNECTION_H
