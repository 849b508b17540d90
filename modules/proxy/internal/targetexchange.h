// One attempt: a request and its answer on a connection to one target.

#ifndef FULMAR_PROXY_TARGETEXCHANGE_H
#define FULMAR_PROXY_TARGETEXCHANGE_H

#include "forwardrequest.h"
#include "fulmar/proxy/bodyreader.h"
#include "fulmar/proxy/connection.h"
#include "fulmar/proxy/forwarder.h"
#include "fulmar/routing/routingtypes.h"

#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace fulmar::proxy {

enum class exchange_progress : std::uint8_t {
  /// No complete head yet, or a held body that is still incomplete.
  Waiting,
  /// The whole answer is held.
  Whole,
  /// The head and a first part of the body are held.
  Streaming,
  /// The target refused and did not start the request.
  Refused,
  /// No answer that could be told apart as one's own.
  Broken,
  /// The answer began and ended early.
  Truncated,
};

/// Owns its connection, which returns to the pool only after a complete
/// exchange. Gives its permit back exactly once: by finish(), or as cancelled
/// when it is destroyed before.
class target_exchange {
public:
  target_exchange(forwarder_parts &Collaborators, const forward_request &Asked,
                  routing::permit Granted, std::size_t Number,
                  std::size_t MaxHeldBytes);
  ~target_exchange();
  target_exchange(const target_exchange &) = delete;
  target_exchange &operator=(const target_exchange &) = delete;

  void connected(std::unique_ptr<connection> Ready);
  /// Sends the head and the kept body.
  io_status sendRequest(base::instant Deadline, base::duration Left);
  /// Tells that all bytes of the request were handed to the connection.
  void requestSent() { RequestSent = true; }
  /// Reads what has arrived.
  exchange_progress advance();

  /// Ends the attempt. A complete one returns its connection to the pool, any
  /// other closes it.
  void finish(routing::attempt_end End);
  /// The record of the attempt, as if it ended with \p End.
  [[nodiscard]] routing::attempt record(routing::attempt_end End) const;

  [[nodiscard]] const Poco::Net::HTTPResponse &response() const {
    return *Response;
  }
  [[nodiscard]] const std::string &heldBody() const { return Held; }
  [[nodiscard]] const body_framing &framing() const { return Body->framing(); }
  body_reader &body() { return *Body; }
  [[nodiscard]] connection &target() { return *Connection; }
  [[nodiscard]] const routing::permit &permit() const { return Permit; }
  [[nodiscard]] base::instant started() const { return Started; }

private:
  exchange_progress progress();
  exchange_progress readHead();
  exchange_progress acceptHead();
  exchange_progress readBody();
  exchange_progress ended(io_status How);
  [[nodiscard]] std::string requestText(base::duration Left) const;
  [[nodiscard]] bool refused() const;
  [[nodiscard]] bool inStep() const;
  void observe() const;
  void recordSpan(const routing::attempt &Attempt) const;

  forwarder_parts &Parts;
  const forward_request &Request;
  const routing::permit Permit;
  // 1 for the request's first attempt.
  const std::size_t Number;
  const std::string Id;
  const std::size_t HeldBytes;
  const base::instant Started;
  const std::chrono::system_clock::time_point StartedAt;
  const telemetry::trace_context Trace;
  std::unique_ptr<connection> Connection;
  // Bytes that the connection had sent for earlier requests.
  std::uint64_t SentBefore = 0;
  bool RequestSent = false;
  bool Finished = false;
  std::optional<Poco::Net::HTTPResponse> Response;
  std::optional<body_reader> Body;
  std::string Held;
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_TARGETEXCHANGE_H
