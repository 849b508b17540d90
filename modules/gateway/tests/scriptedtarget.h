// A target whose answers a test scripts, on a socket of its own. It answers
// health requests by itself.

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

/// What a target does with one request.
struct target_action {
  /// Bytes to send; none when empty.
  std::string Bytes;
  /// Ends the connection afterwards.
  bool Close = false;
  /// Sent after Bytes again and again, until the other side closes.
  std::string Endless;
  /// Time before the answer.
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
  /// Connections that ended while a request was unanswered.
  [[nodiscard]] int abandoned() const { return *Abandoned; }
  /// Value of the load header.
  void setLoad(std::string Load) { *LoadText = std::move(Load); }

  /// Further header lines of answers to health requests.
  void setHealthHeaders(std::string Lines) {
    *HealthHeaders = std::move(Lines);
  }
  /// Answers the latest request, which the script left unanswered.
  void answerLate(const std::string &Body);
  /// Bytes that were written of endless answers.
  [[nodiscard]] std::size_t endlessBytes() const { return *EndlessBytes; }
  /// Endless answers whose connection the other side has closed.
  [[nodiscard]] int endlessClosed() const { return *EndlessClosed; }

  /// Health requests are answered after \p Delay.
  void setHealthDelay(base::duration Delay) { *HealthDelay = Delay; }

  /// Refuses new connections and says nothing on those that are open.
  void stopListening();
  /// Ends the target as a crash does: connections are reset, new ones refused.
  void crash();

  /// A whole answer as targets give it.
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
