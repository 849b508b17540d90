// Follows hints to the leader and resends after lost answers.

#include "controlclient.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <thread>

namespace fulmar::ctl {

namespace {

/// Another instance, or the same one later, may answer.
bool mayAnswerElsewhere(base::error_kind Kind) {
  switch (Kind) {
  case base::error_kind::NotLeader:
  case base::error_kind::NoQuorum:
  case base::error_kind::StaleKnowledge:
  case base::error_kind::Stopping:
  case base::error_kind::Unreachable:
  case base::error_kind::Timeout:
    return true;
  default:
    return false;
  }
}

bool isAddress(const std::string &Text) {
  try {
    return Text.find(':') != std::string::npos &&
           Poco::Net::SocketAddress(Text).port() != 0;
  } catch (const Poco::Exception &) {
    return false;
  }
}

} // namespace

control_client::control_client(control_client_options Given)
    : Options(std::move(Given)) {}

base::result<Json::Value> control_client::call(const std::string &Method,
                                               const Json::Value &Parameters) {
  const base::steady_clock Clock;
  const base::instant Deadline = Clock.now() + Options.Timeout;
  std::string LastFault = "no control instance was given";
  while (!Options.Addresses.empty() && Clock.now() < Deadline) {
    const std::string Address = nextAddress();
    base::result<Json::Value> Answer =
        clientOf(Address).call(Method, Parameters, attemptTimeout(Deadline));
    if (Answer) {
      Preferred = Address;
      return Answer;
    }
    if (!mayAnswerElsewhere(Answer.error().Kind))
      return Answer;
    LostAnswer = LostAnswer || base::answerOf(Answer.error().Kind).Execution ==
                                   base::execution::Unknown;
    LastFault = Address + ": " +
                std::string(base::answerOf(Answer.error().Kind).Name) + " " +
                Answer.error().Message;
    const bool Hinted = Answer.error().Kind == base::error_kind::NotLeader &&
                        isAddress(Answer.error().Message) &&
                        Answer.error().Message != Address;
    Preferred = Hinted ? Answer.error().Message : std::string();
    std::this_thread::sleep_for(Hinted ? Options.HintPause : Options.Pause);
  }
  return base::fail(base::error_kind::Timeout,
                    "no answer to " + Method + "; last fault: " + LastFault);
}

base::result<Json::Value>
control_client::callAt(const std::string &Address, const std::string &Method,
                       const Json::Value &Parameters) {
  return clientOf(Address).call(Method, Parameters, Options.AttemptTimeout);
}

base::duration control_client::attemptTimeout(base::instant Deadline) const {
  constexpr base::duration Least = std::chrono::milliseconds(10);
  const base::duration Left = Deadline - base::steady_clock().now();
  return std::clamp(Left, Least, std::max(Least, Options.AttemptTimeout));
}

std::string control_client::nextAddress() {
  if (!Preferred.empty())
    return Preferred;
  return Options.Addresses[NextIndex++ % Options.Addresses.size()];
}

wire::rpc_client &control_client::clientOf(const std::string &Address) {
  auto &Client = Clients[Address];
  if (!Client)
    Client = std::make_unique<wire::rpc_client>(Address);
  return *Client;
}

} // namespace fulmar::ctl
