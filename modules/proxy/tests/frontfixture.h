// A forwarder behind its listening server, and a caller that talks to it.

#ifndef FULMAR_PROXY_TESTS_FRONTFIXTURE_H
#define FULMAR_PROXY_TESTS_FRONTFIXTURE_H

#include "fakeparts.h"
#include "faketarget.h"
#include "fulmar/proxy/forwarder.h"
#include "fulmar/proxy/httpfront.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace fulmar::proxy::tests {

struct received_answer {
  Poco::Net::HTTPResponse Head;
  std::string Body;
  /// End when the answer was complete.
  body_state State = body_state::Truncated;

  [[nodiscard]] int status() const { return Head.getStatus(); }
  [[nodiscard]] bool complete() const { return State == body_state::End; }
};

/// One connection of a caller.
class test_caller {
public:
  explicit test_caller(const std::string &Address)
      : Connection(connection::open(Address, TestPatience).value()) {}

  void send(const std::string &Text) { sendText(*Connection, Text); }

  /// Status 0 when the connection ended before a head.
  received_answer receive(const std::string &Method = "GET") {
    received_answer Answer;
    Answer.Head.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(0));
    while (!headLength(Connection->unread()))
      if (Connection->fill(soon()) != io_status::Done)
        return Answer;
    const auto Length = *headLength(Connection->unread());
    Answer.Head = parseResponse(Connection->unread().substr(0, Length)).value();
    Connection->consume(Length);
    body_reader Body(*Connection, responseFraming(Answer.Head, Method).value());
    while (true) {
      const body_piece Piece = Body.read(soon());
      Answer.State = Piece.State;
      if (Piece.State != body_state::Data)
        return Answer;
      Answer.Body.append(Piece.Bytes);
    }
  }

  received_answer get(const std::string &Path,
                      const std::string &Headers = "") {
    send("GET " + Path + " HTTP/1.1\r\nHost: t\r\n" + Headers + "\r\n");
    return receive();
  }

  received_answer post(const std::string &Path, const std::string &Body,
                       const std::string &Headers = "") {
    send("POST " + Path + " HTTP/1.1\r\nHost: t\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n" + Headers + "\r\n" + Body);
    return receive();
  }

  connection &raw() { return *Connection; }
  void close() { Connection.reset(); }

private:
  std::unique_ptr<connection> Connection;
};

/// Everything between a caller and fake targets.
struct front_fixture {
  fake_router Router;
  fake_keeper Keeper;
  fake_observer Observer;
  connection_pool Pool{{}};
  service_policy Policy{.Timeout = TestPatience};
  std::unique_ptr<forwarder> Forwarder;
  std::unique_ptr<http_front> Front;

  front_fixture() {
    Forwarder = std::make_unique<forwarder>(
        forwarder_options{.Instance = "entry-t/1/"},
        forwarder_parts{
            .Router = Router,
            .Claims = Keeper,
            .Observer = Observer,
            .Pool = Pool,
            .PolicyOf =
                [this](const base::service_name &Service) {
                  return Service.str() == "s" ? std::optional(Policy)
                                              : std::nullopt;
                },
            .OtherEntries = [] { return std::string("127.0.0.1:1"); }});
    Front = std::make_unique<http_front>(
        [this](caller_exchange &Caller) { Forwarder->handle(Caller); });
  }

  /// Starts the server in front of \p Addresses and returns its address.
  std::string start(std::vector<std::string> Addresses) {
    Router.Addresses = std::move(Addresses);
    if (!Front->start({.Listen = "127.0.0.1:0"}).has_value())
      return "";
    return "127.0.0.1:" + std::to_string(Front->port());
  }
};

/// Waits until \p Condition holds; false when it does not within patience.
inline bool eventually(const std::function<bool()> &Condition) {
  constexpr std::chrono::milliseconds Step(2);
  const base::instant Deadline = soon();
  while (!Condition()) {
    if (currentInstant() > Deadline)
      return false;
    std::this_thread::sleep_for(Step);
  }
  return true;
}

} // namespace fulmar::proxy::tests

#endif // FULMAR_PROXY_TESTS_FRONTFIXTURE_H
