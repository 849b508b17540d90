// fulmar-target: a stand-in target for tests, trials and the quick start.

#include "announcer.h"
#include "controlhandler.h"
#include "targetstate.h"
#include "workhandler.h"

#include "fulmar/runtime/usage.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <iostream>
#include <map>
#include <thread>

ABSL_FLAG(std::string, id, "target-1", "the target's id");
ABSL_FLAG(std::string, service, "registry", "the service it belongs to");
ABSL_FLAG(std::string, data_centre, "pos", "its data centre");
ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to serve on");
ABSL_FLAG(std::vector<std::string>, entries, {},
          "IP:PORT of entries to announce to, comma-separated");
ABSL_FLAG(std::uint32_t, slots, 2, "requests in flight that it bears warm");
ABSL_FLAG(std::uint32_t, connections, 340, "connections that it bears");
ABSL_FLAG(std::uint32_t, bears_cold, 1, "requests in flight it bears cold");
ABSL_FLAG(int, warmup_ms, 2000, "how long it stays cold after a start");
ABSL_FLAG(double, service_ms, 5, "mean service time");
ABSL_FLAG(std::string, service_distribution, "fixed",
          "fixed, exponential or uniform");
ABSL_FLAG(bool, chunked, false, "answer with chunked transfer coding");
ABSL_FLAG(int, announce_ms, 1000, "time between announcements");
ABSL_FLAG(int, drain_linger_ms, 2500,
          "how long it accepts requests after SIGTERM");

namespace {

using namespace fulmar::target;

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit handler_factory(target_state &Shared) : State(Shared) {}

  void watch(const Poco::Net::HTTPServer &Serving) { Server = &Serving; }

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &Request) override {
    if (control_handler::serves(Request.getURI()))
      return new control_handler(
          State, [this] { return Server ? Server->totalConnections() : 0; });
    return new work_handler(State);
  }

private:
  target_state &State;
  const Poco::Net::HTTPServer *Server = nullptr;
};

bool readOptions(target_options &Options) {
  const std::map<std::string, service_distribution> Distributions = {
      {"fixed", service_distribution::Fixed},
      {"exponential", service_distribution::Exponential},
      {"uniform", service_distribution::Uniform}};
  const auto Found =
      Distributions.find(absl::GetFlag(FLAGS_service_distribution));
  if (Found == Distributions.end()) {
    std::cerr << "--service_distribution: expected fixed, exponential or "
                 "uniform\n";
    return false;
  }
  Options = {
      .Id = absl::GetFlag(FLAGS_id),
      .Service = absl::GetFlag(FLAGS_service),
      .DataCentre = absl::GetFlag(FLAGS_data_centre),
      .Listen = absl::GetFlag(FLAGS_listen),
      .Entries = absl::GetFlag(FLAGS_entries),
      .Slots = absl::GetFlag(FLAGS_slots),
      .Connections = absl::GetFlag(FLAGS_connections),
      .BearsCold = absl::GetFlag(FLAGS_bears_cold),
      .Warmup = std::chrono::milliseconds(absl::GetFlag(FLAGS_warmup_ms)),
      .ServiceMs = absl::GetFlag(FLAGS_service_ms),
      .Distribution = Found->second,
      .Chunked = absl::GetFlag(FLAGS_chunked),
      .AnnounceEvery =
          std::chrono::milliseconds(absl::GetFlag(FLAGS_announce_ms)),
      .DrainLinger =
          std::chrono::milliseconds(absl::GetFlag(FLAGS_drain_linger_ms))};
  return true;
}

/// Blocks SIGTERM and SIGINT in all threads, so that main can wait for them.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

void drain(target_state &State, announcer &Announcer) {
  constexpr std::chrono::milliseconds Step(20);
  State.drain();
  Announcer.announceNow();
  std::this_thread::sleep_for(State.options().DrainLinger);
  while (State.inFlight() > 0)
    std::this_thread::sleep_for(Step);
}

int serve(const target_options &Options) {
  const sigset_t Signals = blockStopSignals();
  constexpr int Backlog = 1024;
  constexpr int MinThreads = 4;
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Options.Listen), true, false);
  Socket.listen(Backlog);
  target_state State(Options);
  const auto MaxThreads = static_cast<int>(Options.Connections) + MinThreads;
  Poco::ThreadPool Threads(MinThreads, MaxThreads);
  auto Parameters = Poco::makeAuto<Poco::Net::HTTPServerParams>();
  Parameters->setMaxThreads(MaxThreads);
  Parameters->setMaxKeepAliveRequests(0);
  auto Factory = Poco::makeShared<handler_factory>(State);
  Poco::Net::HTTPServer Server(Factory, Threads, Socket, Parameters);
  Factory->watch(Server);
  Server.start();
  const std::string Address = Socket.address().toString();
  std::cout << Options.Id << " serves " << Options.Service << " on " << Address
            << std::endl;
  announcer Announcer(State, Address);
  int Signal = 0;
  sigwait(&Signals, &Signal);
  drain(State, Announcer);
  Server.stopAll(true);
  std::cout << Options.Id << " stopped" << std::endl;
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  fulmar::runtime::setUsage(
      "fulmar-target",
      "Stand-in target. Example: fulmar-target --id=r1 --service=registry "
      "--listen=127.0.0.1:9001 --entries=127.0.0.1:8001",
      "main.cpp");
  absl::ParseCommandLine(Argc, Argv);
  target_options Options;
  if (!readOptions(Options))
    return 2;
  try {
    return serve(Options);
  } catch (const Poco::Exception &Fault) {
    std::cerr << "can't serve on " << Options.Listen << ": "
              << Fault.displayText() << "\n";
    return 1;
  }
}
