// Serves the callers' requests of a stand-in target.

#ifndef FULMAR_TARGET_WORKHANDLER_H
#define FULMAR_TARGET_WORKHANDLER_H

#include "answerpattern.h"
#include "targetstate.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

namespace fulmar::target {

class work_handler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit work_handler(target_state &Shared) : State(Shared) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override;

private:
  void serve(Poco::Net::HTTPServerRequest &Request,
             Poco::Net::HTTPServerResponse &Response);
  /// False when the caller has gone meanwhile.
  bool work(Poco::Net::HTTPServerRequest &Request,
            const target_behaviour &Behaviour);
  void answer(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response,
              const running_digest &Upload, bool Truncate);

  target_state &State;
};

} // namespace fulmar::target

#endif // FULMAR_TARGET_WORKHANDLER_H
