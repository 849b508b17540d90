// A target with its own socket, whose responses are scripted by the test.
// Answers health requests by itself.

#ifndef FULMAR_GATEWAY_TESTS_SCRIPTEDTARGET_H
#define FULMAR_GATEWAY_TESTS_SCRIPTEDTARGET_H

#include "fulmar/eventloop/loop.h"
#include "internal/httptypes.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmar::gateway {

/// How a target responds to one request.
struct target_action {
  /// Bytes to send; none if empty.
  std::string Bytes;
  /// Closes the connection afterwards.
  bool Close = false;
  /// Sent repeatedly after Bytes, until the peer closes the connection.
  std::string Endless;
  /// Delay before the response.
  base::duration ResponseDelay{};
};

struct received_request {
  std::string Method;
  std::string Target;
  std::string Body;
  http::fields Fields;
};

class scripted_target {
public:
  using script = std::function<target_action(const received_request &)>;

  scripted_target(eventloop::loop &OwningLoop, std::string TargetId,
                  std::string ListenAddress, script InitialScript);
  ~scripted_target() { crash(); }
  scripted_target(const scripted_target &) = delete;
  scripted_target &operator=(const scripted_target &) = delete;

  [[nodiscard]] const std::string &id() const { return Id; }
  [[nodiscard]] const std::string &address() const { return Address; }
  [[nodiscard]] const std::vector<received_request> &requests() const {
    return *Requests;
  }
  /// Number of connections that ended while a request was unanswered.
  [[nodiscard]] int abandoned() const { return *Abandoned; }
  /// Sets the value of the load header.
  void setLoad(std::string Load) { *LoadText = std::move(Load); }

  /// Sets additional header lines of responses to health requests.
  void setHealthHeaders(std::string Lines) {
    *HealthHeaders = std::move(Lines);
  }
  /// Responds to the latest request, which the script left unanswered.
  void answerLate(const std::string &Body);
  /// Sends further bytes on the connection of the latest request.
  void sendLate(std::string Bytes);
  /// Number of bytes written of endless responses.
  [[nodiscard]] std::size_t endlessBytes() const { return *EndlessBytes; }
  /// Number of endless responses whose connection the peer has closed.
  [[nodiscard]] int endlessClosed() const { return *EndlessClosed; }

  /// Delays responses to health requests by \p Delay.
  void setHealthDelay(base::duration Delay) { *HealthDelay = Delay; }

  /// Refuses new connections; open ones stay open without a response.
  void stopListening();
  /// Simulates a crash: resets connections and refuses new ones.
  void crash();

  /// A complete, signed response.
  static std::string ok(const received_request &Request,
                        const std::string &Body);

private:
  class connection;
  void accept();

  eventloop::loop &Loop;
  std::string Id;
  std::string Address;
  std::shared_ptr<script> Script;
  std::shared_ptr<std::vector<received_request>> Requests =
      std::make_shared<std::vector<received_request>>();
  std::shared_ptr<int> Abandoned = std::make_shared<int>(0);
  std::shared_ptr<std::string> LoadText =
      std::make_shared<std::string>("0,0,4,100");
  std::shared_ptr<std::weak_ptr<connection>> LatestConnection =
      std::make_shared<std::weak_ptr<connection>>();
  std::shared_ptr<std::string> HealthHeaders = std::make_shared<std::string>();
  std::shared_ptr<std::size_t> EndlessBytes = std::make_shared<std::size_t>(0);
  std::shared_ptr<int> EndlessClosed = std::make_shared<int>(0);
  std::shared_ptr<base::duration> HealthDelay =
      std::make_shared<base::duration>();
  std::vector<std::weak_ptr<connection>> Connections;
  eventloop::tcp::acceptor Acceptor;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_TESTS_SCRIPTEDTARGET_H
