// The server's life: listening, draining, stopping.

#include "fulmar/proxy/httpfront.h"

#include "frontconnection.h"
#include "fulmar/wire/listen.h"

#include <Poco/Exception.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <Poco/ThreadPool.h>

#include <utility>

namespace fulmar::proxy {

namespace {

class connection_factory final : public Poco::Net::TCPServerConnectionFactory {
public:
  explicit connection_factory(front_state &Shared) : State(Shared) {}

  Poco::Net::TCPServerConnection *
  createConnection(const Poco::Net::StreamSocket &Socket) override {
    return new front_connection(Socket, State);
  }

private:
  front_state &State;
};

} // namespace

struct http_front::implementation {
  explicit implementation(forward_handler Forward)
      : State(std::move(Forward)) {}

  front_state State;
  std::unique_ptr<Poco::ThreadPool> Threads;
  std::unique_ptr<Poco::Net::TCPServer> Server;
};

http_front::http_front(forward_handler Forward)
    : Implementation(std::make_unique<implementation>(std::move(Forward))) {}

http_front::~http_front() { stop(); }

void http_front::handle(const std::string &Method, const std::string &Path,
                        plain_handler Handler) {
  Implementation->State.Handlers[Path][Method] = std::move(Handler);
}

base::result<void> http_front::start(const http_front_options &Wanted) {
  try {
    Implementation->State.Options = Wanted;
    const Poco::Net::ServerSocket Socket = wire::listenOn(Wanted.Listen);
    constexpr int MinThreads = 2;
    constexpr int MaxQueued = 1024;
    Implementation->Threads =
        std::make_unique<Poco::ThreadPool>(MinThreads, Wanted.MaxConnections);
    auto Parameters = Poco::makeAuto<Poco::Net::TCPServerParams>();
    Parameters->setMaxThreads(Wanted.MaxConnections);
    Parameters->setMaxQueued(MaxQueued);
    Implementation->Server = std::make_unique<Poco::Net::TCPServer>(
        new connection_factory(Implementation->State), *Implementation->Threads,
        Socket, Parameters);
    Implementation->Server->start();
    return base::success();
  } catch (const Poco::Exception &Fault) {
    return base::fail(base::error_kind::Unreachable, "can't listen on " +
                                                         Wanted.Listen + ": " +
                                                         Fault.displayText());
  }
}

std::uint16_t http_front::port() const {
  return Implementation->Server ? Implementation->Server->port() : 0;
}

void http_front::beginStop() { Implementation->State.Draining = true; }

std::size_t http_front::inFlight() const {
  return Implementation->State.InFlight.size();
}

std::vector<remaining_request> http_front::waitIdle(base::instant Deadline) {
  return Implementation->State.InFlight.waitEmpty(Deadline);
}

void http_front::stop() {
  if (!Implementation->Server)
    return;
  beginStop();
  Implementation->Server->stop();
  Implementation->State.Closing.raise();
  Implementation->Threads->joinAll();
  Implementation->Server.reset();
}

} // namespace fulmar::proxy
