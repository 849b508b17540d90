// Relays bytes with one thread a connection.

#include "support/cuttablelink.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace fulmar::system_tests {

namespace {

const Poco::Timespan PollTime(0, 20'000);

/// Moves what has arrived; false when the side has closed.
bool move(Poco::Net::StreamSocket &From, Poco::Net::StreamSocket &To,
          bool Drop) {
  std::array<char, 16384> Bytes{};
  if (!From.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
    return true;
  const int Count = From.receiveBytes(Bytes.data(), Bytes.size());
  if (Count <= 0)
    return false;
  for (int Sent = 0; !Drop && Sent < Count;)
    Sent += To.sendBytes(Bytes.data() + Sent, Count - Sent);
  return true;
}

} // namespace

cuttable_link::cuttable_link(std::string To)
    : Destination(std::move(To)),
      Listener(Poco::Net::SocketAddress("127.0.0.1:0")),
      Acceptor([this] { accept(); }) {}

cuttable_link::~cuttable_link() {
  Ending.store(true);
  Acceptor.join();
  for (relay &Relay : Relays)
    Relay.Thread.join();
}

std::string cuttable_link::address() const {
  return Listener.address().toString();
}

void cuttable_link::mend() {
  ++Generation;
  Cut.store(false);
}

void cuttable_link::accept() {
  while (!Ending.load()) {
    if (!Listener.poll(PollTime, Poco::Net::Socket::SELECT_READ))
      continue;
    Poco::Net::StreamSocket Caller = Listener.acceptConnection();
    const std::lock_guard Lock(Mutex);
    for (auto Relay = Relays.begin(); Relay != Relays.end();) {
      if (!Relay->Done.load()) {
        ++Relay;
        continue;
      }
      Relay->Thread.join();
      Relay = Relays.erase(Relay);
    }
    relay &Relay = Relays.emplace_back();
    Relay.Thread = std::thread([this, Caller, &Relay] { pump(Caller, Relay); });
  }
}

void cuttable_link::pump(Poco::Net::StreamSocket Caller, relay &Relay) {
  const std::uint64_t Born = Generation.load();
  try {
    Poco::Net::StreamSocket Server;
    bool Connected = false;
    while (!Ending.load() && Generation.load() == Born) {
      if (Cut.load()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        continue;
      }
      if (!Connected) {
        Server.connect(Poco::Net::SocketAddress(Destination));
        Connected = true;
      }
      Poco::Net::Socket::SocketList Readable = {Caller, Server};
      Poco::Net::Socket::SocketList None;
      Poco::Net::Socket::SocketList Failed;
      Poco::Net::Socket::select(Readable, None, Failed, PollTime);
      if (!move(Caller, Server, Cut.load()) ||
          !move(Server, Caller, Cut.load()))
        break;
    }
  } catch (const Poco::Exception &) {
    // Either side has gone; both connections close below.
  }
  Caller.close();
  Relay.Done.store(true);
}

} // namespace fulmar::system_tests
