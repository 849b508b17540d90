// One kept connection to a target, on which one call runs at a time.
//
// It always reads. Bytes that come while nothing was asked, or behind a whole
// answer, belong to no request: the connection is closed. An answer that bears
// another request's id is dropped, and the next one is awaited.

#ifndef FULMAR_GATEWAY_INTERNAL_TARGETCHANNEL_H
#define FULMAR_GATEWAY_INTERNAL_TARGETCHANNEL_H

#include "fulmar/base/result.h"
#include "fulmar/gateway/dialect.h"
#include "internal/httptypes.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fulmar::gateway {

struct target_call {
  /// Start line and headers, with the empty line.
  std::string Head;
  shared_body Body;
  /// The answer must bear this id; empty for a probe, whose answer bears none.
  std::string RequestId;
  /// HEAD: the answer has no body.
  bool HeadOnly = false;
};

struct target_answer {
  unsigned Status = 0;
  std::string Reason;
  http::fields Fields;
  std::string Body;
};

class target_channel : public std::enable_shared_from_this<target_channel> {
public:
  /// Unreachable: no byte can have arrived. OutcomeUnknown and TruncatedAnswer:
  /// the target may have run the call.
  using handler = std::function<void(base::result<target_answer>)>;

  target_channel(eventloop::loop &OwningLoop, std::string TargetKey,
                 tcp::endpoint At, const dialect &Names);

  /// Connects first where needed. \p Done is called once, unless the channel
  /// is closed before; never from within this call.
  void call(target_call Call, handler Done);
  /// Drops a running call without calling its handler.
  void close();

  [[nodiscard]] const std::string &key() const { return Key; }
  [[nodiscard]] std::string targetId() const {
    return Key.substr(0, Key.find('/'));
  }
  /// Idle, connected, and fit for another call.
  [[nodiscard]] bool reusable() const {
    return Connected && !Done && !Tainted && !Writing && Socket.is_open();
  }
  [[nodiscard]] base::instant idleSince() const { return IdleSince; }
  [[nodiscard]] base::duration idleLimit() const { return IdleLimit; }
  [[nodiscard]] bool connected() const { return Connected; }

private:
  using parser = http::response_parser<http::string_body>;

  void connect();
  void write();
  void read();
  void take(std::string_view Bytes);
  /// Feeds the parser; false when more bytes are needed or the call ended.
  bool parse();
  void onEnd(error_code Failed);
  void onAnswer();
  [[nodiscard]] bool belongsElsewhere() const;
  void resetParser();
  void noteKeepAlive(const http::fields &Fields);
  void finish(base::result<target_answer> Result);

  eventloop::loop &Loop;
  std::string Key;
  tcp::endpoint Endpoint;
  const dialect &Dialect;
  tcp::socket Socket;
  eventloop::timer ConnectTimer;
  bool Connected = false;
  bool Writing = false;
  /// Not fit for another call.
  bool Tainted = false;

  target_call Call;
  handler Done;
  std::optional<parser> Parser;
  /// Bytes that the parser has not taken yet.
  std::string Pending;
  std::array<char, 8'192> Chunk{};
  base::instant IdleSince{};
  base::duration IdleLimit;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_TARGETCHANNEL_H
