// Forwards bytes in both directions as the link's state permits.

#include "tests/cuttablelink.h"

#include <boost/asio/write.hpp>

#include <array>

namespace fulmar::gateway {

namespace asio = eventloop::asio;
using eventloop::error_code;
using eventloop::tcp;

class cuttable_link::connection
    : public std::enable_shared_from_this<connection> {
public:
  connection(eventloop::loop &Loop, tcp::socket Accepted)
      : Near{std::move(Accepted), {}, false}, Far{tcp::socket(Loop.context()),
                                                  {},
                                                  false} {}

  void start(const std::string &Target, bool Held) {
    Paused = Held;
    error_code Failed;
    Far.Socket.connect(eventloop::parseEndpoint(Target).value(), Failed);
    if (Failed)
      return reset();
    forward(Near, Far);
    forward(Far, Near);
  }
  void pause() { Paused = true; }
  [[nodiscard]] bool isOpen() const { return Near.Socket.is_open(); }
  void reset() {
    for (side *Side : {&Near, &Far}) {
      error_code Ignored;
      Side->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
      Side->Socket.close(Ignored);
    }
  }
  void resume() {
    Paused = false;
    forward(Near, Far);
    forward(Far, Near);
  }

private:
  struct side {
    tcp::socket Socket;
    std::array<char, 16'384> Buffer;
    bool Reading;
  };

  void forward(side &From, side &To) {
    if (Paused || From.Reading || !From.Socket.is_open())
      return;
    From.Reading = true;
    From.Socket.async_wait(
        tcp::socket::wait_read,
        [Self = shared_from_this(), &From, &To](error_code Failed) {
          From.Reading = false;
          // What arrived while the link hangs is read once it is open again.
          if (Failed || Self->Paused)
            return;
          const std::size_t Count =
              From.Socket.read_some(asio::buffer(From.Buffer), Failed);
          if (!Failed)
            asio::write(To.Socket, asio::buffer(From.Buffer, Count), Failed);
          if (Failed)
            return Self->reset();
          Self->forward(From, To);
        });
  }

  side Near;
  side Far;
  bool Paused = false;
};

cuttable_link::cuttable_link(eventloop::loop &OwningLoop,
                             std::string ListenAddress,
                             std::string TargetAddress)
    : Loop(OwningLoop), Address(std::move(ListenAddress)),
      Target(std::move(TargetAddress)) {
  set(link_state::Open);
}

void cuttable_link::set(link_state Next) {
  State = Next;
  std::erase_if(Connections,
                [](const auto &Connection) { return !Connection->isOpen(); });
  for (const auto &Connection : Connections) {
    if (Next == link_state::Resetting)
      Connection->reset();
    else if (Next == link_state::Hanging)
      Connection->pause();
    else
      Connection->resume();
  }
  const bool Listens = Next == link_state::Open || Next == link_state::Hanging;
  if (!Listens) {
    Acceptor.reset();
  } else if (!Acceptor) {
    Acceptor.emplace(eventloop::listenOn(Loop, Address).value());
    accept();
  }
}

void cuttable_link::accept() {
  Acceptor->async_accept([this](error_code Failed, tcp::socket Socket) {
    if (Failed)
      return;
    ++Opened;
    const auto Accepted = std::make_shared<connection>(Loop, std::move(Socket));
    Connections.push_back(Accepted);
    Accepted->start(Target, State == link_state::Hanging);
    accept();
  });
}

} // namespace fulmar::gateway
