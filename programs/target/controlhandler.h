// Lets tests read a stand-in target's counts and switch its behaviour:
// GET /.control/counts, POST /.control/set?NAME=VALUE, POST /.control/drain,
// POST /.control/turn-cold?incarnation=same|new and GET /.health.

#ifndef FULMAR_TARGET_CONTROLHANDLER_H
#define FULMAR_TARGET_CONTROLHANDLER_H

#include "targetstate.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <string>

namespace fulmar::target {

class control_handler final : public Poco::Net::HTTPRequestHandler {
public:
  /// \p Opened tells how many connections the target has accepted.
  control_handler(target_state &Shared, std::function<int()> Opened)
      : State(Shared), ConnectionsOpened(std::move(Opened)) {}

  /// True for the paths that this handler serves.
  static bool serves(const std::string &Target);

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override;

private:
  /// False when the path, a name or a value is unknown.
  bool act(const std::string &Target);

  target_state &State;
  std::function<int()> ConnectionsOpened;
};

} // namespace fulmar::target

#endif // FULMAR_TARGET_CONTROLHANDLER_H
