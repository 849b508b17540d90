// Connections of the scripted target.

#include "tests/scriptedtarget.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace fulmar::gateway {

class scripted_target::connection
    : public std::enable_shared_from_this<connection> {
public:
  connection(const scripted_target &Owner, tcp::socket Accepted)
      : Socket(std::move(Accepted)), Id(Owner.Id), Script(Owner.Script),
        Requests(Owner.Requests), LatestConnection(Owner.LatestConnection),
        Abandoned(Owner.Abandoned), LoadText(Owner.LoadText),
        HealthHeaders(Owner.HealthHeaders), EndlessBytes(Owner.EndlessBytes),
        EndlessClosed(Owner.EndlessClosed), HealthDelay(Owner.HealthDelay),
        HealthTimer(Socket.get_executor()),
        ResponseTimer(Socket.get_executor()) {}

  void read() {
    Message = {};
    http::async_read(
        Socket, Buffer, Message,
        [Self = shared_from_this()](error_code Failed, std::size_t /*Count*/) {
          if (Failed)
            return Self->onEnd();
          Self->onRequest();
        });
  }

  void answerLate(const std::string &Body) {
    sendLate(scripted_target::ok(Requests->back(), Body));
  }

  void sendLate(std::string Sent) {
    const auto Bytes = std::make_shared<std::string>(std::move(Sent));
    asio::async_write(Socket, asio::buffer(*Bytes),
                      [Self = shared_from_this(),
                       Bytes](error_code /*Failed*/, std::size_t /*Count*/) {});
  }

  void reset() {
    error_code Ignored;
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    Socket.close(Ignored);
  }

private:
  void onEnd() {
    if (Unanswered)
      ++*Abandoned;
  }

  void onRequest() {
    if (Message.target() == "/healthz")
      return replyHealth();
    *LatestConnection = weak_from_this();
    Requests->push_back({.Method = std::string(Message.method_string()),
                         .Target = std::string(Message.target()),
                         .Body = Message.body(),
                         .Fields = Message.base()});
    const target_action Action = (*Script)(Requests->back());
    Unanswered = Action.Bytes.empty();
    if (Action.ResponseDelay.count() == 0)
      return reply(Action);
    ResponseTimer.expires_after(Action.ResponseDelay);
    ResponseTimer.async_wait([Self = shared_from_this(), Action](error_code) {
      Self->reply(Action);
    });
  }

  void replyHealth() {
    HealthTimer.expires_after(*HealthDelay);
    HealthTimer.async_wait([Self = shared_from_this()](error_code /*Failed*/) {
      Self->reply({.Bytes = "HTTP/1.1 200 OK\r\nT-Id: " + Self->Id +
                            "\r\nT-Load: " + *Self->LoadText + "\r\n" +
                            *Self->HealthHeaders +
                            "Content-Length: 0\r\n\r\n"});
    });
  }

  void reply(const target_action &Action) {
    if (!Action.Endless.empty())
      return writeEndlessly(Action.Bytes,
                            std::make_shared<std::string>(Action.Endless));
    if (Action.Bytes.empty() && !Action.Close)
      return read();
    const auto Bytes = std::make_shared<std::string>(Action.Bytes);
    asio::async_write(Socket, asio::buffer(*Bytes),
                      [Self = shared_from_this(), Bytes, Close = Action.Close](
                          error_code /*Failed*/, std::size_t /*Count*/) {
                        if (!Close)
                          return Self->read();
                        error_code Ignored;
                        Self->Socket.close(Ignored);
                      });
  }

  void writeEndlessly(const std::string &First,
                      const std::shared_ptr<std::string> &Next) {
    const auto Bytes = std::make_shared<std::string>(First + *Next);
    asio::async_write(Socket, asio::buffer(*Bytes),
                      [Self = shared_from_this(), Bytes,
                       Next](error_code Failed, std::size_t Count) {
                        *Self->EndlessBytes += Count;
                        if (!Failed)
                          return Self->writeEndlessly({}, Next);
                        ++*Self->EndlessClosed;
                      });
  }

  tcp::socket Socket;
  std::string Id;
  std::shared_ptr<script> Script;
  std::shared_ptr<std::vector<received_request>> Requests;
  std::shared_ptr<std::weak_ptr<connection>> LatestConnection;
  std::shared_ptr<int> Abandoned;
  std::shared_ptr<std::string> LoadText;
  std::shared_ptr<std::string> HealthHeaders;
  std::shared_ptr<std::size_t> EndlessBytes;
  std::shared_ptr<int> EndlessClosed;
  std::shared_ptr<base::duration> HealthDelay;
  asio::steady_timer HealthTimer;
  asio::steady_timer ResponseTimer;
  boost::beast::flat_buffer Buffer;
  http::request<http::string_body> Message;
  bool Unanswered = false;
};

scripted_target::scripted_target(eventloop::loop &OwningLoop,
                                 std::string TargetId,
                                 std::string ListenAddress,
                                 script InitialScript)
    : Loop(OwningLoop), Id(std::move(TargetId)),
      Address(std::move(ListenAddress)),
      Script(std::make_shared<script>(std::move(InitialScript))),
      Acceptor(eventloop::listenOn(Loop, Address).value()) {
  accept();
}

void scripted_target::answerLate(const std::string &Body) {
  if (const auto Connection = LatestConnection->lock())
    Connection->answerLate(Body);
}

void scripted_target::sendLate(std::string Bytes) {
  if (const auto Connection = LatestConnection->lock())
    Connection->sendLate(std::move(Bytes));
}

void scripted_target::stopListening() {
  error_code Ignored;
  Acceptor.close(Ignored);
}

void scripted_target::crash() {
  stopListening();
  for (const auto &Weak : Connections) {
    if (const auto Connection = Weak.lock())
      Connection->reset();
  }
}

void scripted_target::accept() {
  Acceptor.async_accept([this](error_code Failed, tcp::socket Socket) {
    if (Failed)
      return;
    const auto Accepted =
        std::make_shared<connection>(*this, std::move(Socket));
    Connections.push_back(Accepted);
    Accepted->read();
    accept();
  });
}

std::string scripted_target::ok(const received_request &Request,
                                const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nT-Request: " +
         std::string(headerOf(Request.Fields, "T-Request")) +
         "\r\nT-Signature: s\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace fulmar::gateway
