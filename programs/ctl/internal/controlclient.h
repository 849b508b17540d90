// Calls control instances until one of them gives a final answer.

#ifndef FULMAR_CTL_CONTROLCLIENT_H
#define FULMAR_CTL_CONTROLCLIENT_H

#include "fulmar/base/result.h"
#include "fulmar/base/time.h"
#include "fulmar/wire/rpcclient.h"

#include <json/value.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmar::ctl {

struct control_client_options {
  /// IP:PORT of each control instance.
  std::vector<std::string> Addresses;
  /// Bound of a call over all attempts.
  base::duration Timeout = std::chrono::seconds(20);
  /// Bound of one attempt.
  base::duration AttemptTimeout = std::chrono::seconds(3);
  base::duration Pause = std::chrono::milliseconds(100);
  /// Pause before a hint is followed: two instances may point at each other.
  base::duration HintPause = std::chrono::milliseconds(5);
};

class control_client {
public:
  explicit control_client(control_client_options Options);

  /// Sends the same call to one instance after the other, the leader's hint
  /// first, until it is answered. Only for calls that may be repeated: every
  /// method of the control instances may. Fails with Timeout when no instance
  /// answered in time, and with the error that an instance answered otherwise.
  base::result<Json::Value> call(const std::string &Method,
                                 const Json::Value &Parameters);
  /// One attempt at one instance.
  base::result<Json::Value> callAt(const std::string &Address,
                                   const std::string &Method,
                                   const Json::Value &Parameters);

  [[nodiscard]] const std::vector<std::string> &addresses() const {
    return Options.Addresses;
  }

  /// Some attempt so far may have been carried out without an answer.
  [[nodiscard]] bool hadLostAnswer() const { return LostAnswer; }

private:
  wire::rpc_client &clientOf(const std::string &Address);
  [[nodiscard]] base::duration attemptTimeout(base::instant Deadline) const;
  std::string nextAddress();

  control_client_options Options;
  std::map<std::string, std::unique_ptr<wire::rpc_client>> Clients;
  /// Address of the last success or hint; empty after a failure.
  std::string Preferred;
  std::size_t NextIndex = 0;
  bool LostAnswer = false;
};

} // namespace fulmar::ctl

#endif // FULMAR_CTL_CONTROLCLIENT_H
