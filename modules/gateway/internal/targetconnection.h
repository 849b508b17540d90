// One kept connection to a target, on which one call runs at a time.
//
// It always reads, except where an answer is passed on piece by piece. Bytes
// that come while nothing was asked, or behind a whole answer, belong to no
// request: the connection is closed. An answer that bears another request's id
// is dropped, and the next one is awaited. On a connection that has been used
// before, an answer without an id may be a late copy of an earlier one and is
// not taken for the call's own.
//
// What it holds is bounded: an answer that grows beyond a limit is handed over
// unfinished, to be read in pieces, and bytes that are no answer end the call.

#ifndef FULMAR_GATEWAY_INTERNAL_TARGETCONNECTION_H
#define FULMAR_GATEWAY_INTERNAL_TARGETCONNECTION_H

#include "fulmar/base/result.h"
#include "fulmar/gateway/headernames.h"
#include "internal/bufferbudget.h"
#include "internal/httptypes.h"
#include "internal/incrementalbody.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fulmar::gateway {

/// Longest body of an answer that is held whole.
inline constexpr std::size_t MaxBufferedResponseBytes = std::size_t(256) << 10U;

struct target_call {
  /// Start line and headers, with the empty line.
  std::string Head;
  shared_body Body;
  /// The answer must bear this id; empty for a probe, whose answer bears none.
  std::string RequestId;
  /// HEAD: the answer has no body.
  bool HeadOnly = false;
  /// The call fails after this; 0 where the caller limits it.
  base::duration Timeout{};
};

struct target_response {
  unsigned Status = 0;
  std::string Reason;
  http::fields Fields;
  std::string Body;
  /// False: Body is a first part, and readPiece() reads on.
  bool Complete = true;
};

/// A further part of an answer that is not held whole.
struct response_piece {
  std::string Bytes;
  bool Last = false;
};

class target_connection
    : public std::enable_shared_from_this<target_connection> {
public:
  /// Unreachable: no byte can have arrived. OutcomeUnknown and TruncatedAnswer:
  /// the target may have run the call.
  using handler = std::function<void(base::result<target_response>)>;
  using piece_handler = std::function<void(base::result<response_piece>)>;
  /// Sees the status and header fields of each final answer that the target
  /// gives, whoever it belongs to.
  using response_observer = std::function<void(
      const std::string &Key, unsigned Status, const http::fields &Fields)>;

  target_connection(eventloop::loop &OwningLoop, std::string TargetKey,
                    tcp::endpoint RemoteEndpoint, const header_names &Names,
                    const std::shared_ptr<buffer_budget> &Budget,
                    const response_observer &ResponseObserver);

  /// Connects first where needed. \p Done is called once, unless the channel
  /// is closed before; never from within this call.
  void call(target_call Call, handler Done);
  /// After an unfinished answer: \p Done gets the next piece, or the error that
  /// ended the answer; not called once the channel is closed. The target is
  /// read no faster than pieces are asked for.
  void readPiece(piece_handler Done);
  /// Drops a running call without calling its handler.
  void close();

  [[nodiscard]] const std::string &key() const { return Key; }
  /// Idle, connected, and fit for another call.
  [[nodiscard]] bool reusable() const {
    return Connected && !Done && !Streaming && !Unusable && !Writing &&
           Socket.is_open();
  }
  [[nodiscard]] base::instant idleSince() const { return IdleSince; }
  [[nodiscard]] base::duration idleLimit() const { return IdleLimit; }
  [[nodiscard]] bool connected() const { return Connected; }
  /// Nobody listens at the target's address.
  [[nodiscard]] bool refused() const { return Refused; }
  /// Further answers on this connection are not to be used.
  void markUnusable() { Unusable = true; }

private:
  using parser = http::response_parser<incremental_body>;

  void connect();
  void write();
  void read();
  [[nodiscard]] bool wantsRead() const;
  void onBytes(std::string_view Bytes);
  /// Feeds the parser; false when more bytes are needed or the call ended.
  bool parse();
  void onReadError(error_code Failed);
  void onResponse();
  /// The body is longer than what is held.
  void startStreaming();
  /// An interim answer, or another request's: the next one is awaited, unless
  /// too many of them have come.
  void skipResponse();
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
  tcp::endpoint Endpoint;
  const header_names &HeaderNames;
  const response_observer &Observer;
  tcp::socket Socket;
  eventloop::timer ConnectTimer;
  eventloop::timer CallTimer;
  bool Connected = false;
  bool Refused = false;
  bool Reading = false;
  bool Writing = false;
  /// Not fit for another call.
  bool Unusable = false;
  /// Some call has been written before the present one.
  bool UsedBefore = false;

  target_call Call;
  handler Done;
  std::optional<parser> Parser;
  /// Answers that were passed over in the present call.
  unsigned SkippedResponses = 0;
  /// An unfinished answer has been handed over.
  bool Streaming = false;
  piece_handler OnPiece;
  /// Bytes that the parser has not taken yet.
  std::string Unparsed;
  buffer_reservation BufferedBytes;
  std::array<char, 8'192> ReadBuffer{};
  base::instant IdleSince{};
  base::duration IdleLimit;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_TARGETCONNECTION_H
