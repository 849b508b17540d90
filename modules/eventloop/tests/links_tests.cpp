// Links and the small HTTP server over real sockets on loopback.

#include "fulmar/eventloop/framelink.h"
#include "fulmar/eventloop/httpserver.h"
#include "fulmar/testing/property.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace fulmar;
using namespace fulmar::eventloop;
using std::chrono::milliseconds;

namespace {

constexpr const char *LinkAddress = "127.0.0.1:18511";
constexpr const char *HttpAddress = "127.0.0.1:18512";

/// Runs the loop until \p Done or the limit.
template <typename Condition>
bool runUntil(loop &Loop, Condition Done,
              base::duration Limit = std::chrono::seconds(5)) {
  const base::instant End = Loop.now() + Limit;
  while (!Done() && Loop.now() < End)
    Loop.context().run_one_for(milliseconds(10));
  return Done();
}

/// Sends bytes and reads until the peer closes.
std::string exchangeRaw(loop &Loop, const std::string &Sent) {
  tcp::socket Socket(Loop.context());
  Socket.connect(parseEndpoint(HttpAddress).value());
  asio::write(Socket, asio::buffer(Sent));
  std::string Received;
  bool Ended = false;
  asio::async_read(
      Socket, asio::dynamic_buffer(Received),
      [&Ended](error_code /*End*/, std::size_t /*Count*/) { Ended = true; });
  runUntil(Loop, [&Ended] { return Ended; });
  return Received;
}

} // namespace

TEST_GROUP(Links){};

TEST(Links, framesOfAllSizesArriveWholeAndInOrder) {
  loop Loop;
  frame_server Server(Loop);
  std::vector<std::string> Received;
  std::shared_ptr<frame_link> Accepted;
  CHECK_TRUE(Server
                 .start(LinkAddress,
                        [&](std::shared_ptr<frame_link> Link) {
                          Accepted = std::move(Link);
                          Accepted->start(
                              [&](std::string_view Frame) {
                                Received.emplace_back(Frame);
                              },
                              [] {});
                        })
                 .has_value());
  frame_dialer Dialer(Loop, {.Address = LinkAddress}, {});
  CHECK_TRUE(runUntil(Loop, [&] { return Dialer.connected(); }));
  const std::vector<std::string> Sent = {"", "a", std::string(300'000, 'x'),
                                         "last"};
  for (const std::string &Frame : Sent)
    CHECK_TRUE(Dialer.send(Frame));
  CHECK_TRUE(runUntil(Loop, [&] { return Received.size() == Sent.size(); }));
  CHECK_TRUE(Received == Sent);
}

TEST(Links, aSilentPeerIsNoticedAndDialledAgain) {
  loop Loop;
  frame_server Server(Loop);
  int Accepts = 0;
  std::vector<std::shared_ptr<frame_link>> Held;
  CHECK_TRUE(Server
                 .start(LinkAddress,
                        [&](std::shared_ptr<frame_link> Link) {
                          ++Accepts;
                          // Never answers.
                          Held.push_back(std::move(Link));
                        })
                 .has_value());
  int Lost = 0;
  frame_dialer Dialer(
      Loop, {.Address = LinkAddress, .SilenceLimit = milliseconds(200)},
      {.Lost = [&Lost] { ++Lost; }});
  CHECK_TRUE(runUntil(Loop, [&] { return Lost > 0 && Accepts > 1; }));
}

TEST(Links, aPeerThatComesUpIsReachedSoon) {
  // A full accept queue drops connection requests, as a machine that is down.
  loop Loop;
  const auto Endpoint = parseEndpoint(LinkAddress).value();
  tcp::acceptor Listener(Loop.context());
  Listener.open(Endpoint.protocol());
  Listener.set_option(tcp::acceptor::reuse_address(true));
  Listener.bind(Endpoint);
  Listener.listen(0);
  constexpr int Fillers = 2;
  std::vector<tcp::socket> Filling;
  for (int Number = 0; Number < Fillers; ++Number) {
    Filling.emplace_back(Loop.context());
    Filling.back().async_connect(Endpoint, [](error_code /*Ignored*/) {});
  }
  runUntil(
      Loop, [] { return false; }, milliseconds(20));
  const base::instant Begun = Loop.now();
  bool Connected = false;
  frame_dialer Dialer(Loop, {.Address = LinkAddress},
                      {.Connected = [&Connected] { Connected = true; },
                       .Frame = [](std::string_view) {},
                       .Lost = [] {}});
  CHECK_FALSE(runUntil(
      Loop, [&] { return Connected; }, milliseconds(60)));
  std::vector<tcp::socket> Accepted;
  for (int Number = 0; Number < Fillers - 1; ++Number)
    Accepted.push_back(Listener.accept());
  CHECK_TRUE(runUntil(Loop, [&] { return Connected; }));
  CHECK_TRUE(Loop.now() - Begun < milliseconds(400));
}

TEST(Links, anOversizedFrameEndsTheLink) {
  loop Loop;
  frame_server Server(Loop);
  bool Closed = false;
  std::shared_ptr<frame_link> Accepted;
  CHECK_TRUE(Server
                 .start(LinkAddress,
                        [&](std::shared_ptr<frame_link> Link) {
                          Accepted = std::move(Link);
                          Accepted->start([](std::string_view) {},
                                          [&Closed] { Closed = true; });
                        })
                 .has_value());
  tcp::socket Socket(Loop.context());
  Socket.connect(parseEndpoint(LinkAddress).value());
  asio::write(Socket, asio::buffer(std::string("\x7f\xff\xff\xff")));
  CHECK_TRUE(runUntil(Loop, [&] { return Closed; }));
}

TEST(Links, addressesAreChecked) {
  CHECK_TRUE(parseEndpoint("10.0.0.1:80").has_value());
  for (const char *Wrong :
       {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0:80", "a:80", "1.2.3.4:8x"})
    CHECK_FALSE(parseEndpoint(Wrong).has_value());
}

TEST(Links, aTimerThatIsCancelledDoesNotFire) {
  loop Loop;
  int Fired = 0;
  timer Timer(Loop);
  Timer.after(milliseconds(1), [&Fired] { ++Fired; });
  Timer.after(milliseconds(5), [&Fired] { Fired += 10; });
  CHECK_TRUE(runUntil(Loop, [&] { return Fired > 0; }));
  CHECK_EQUAL(10, Fired);
}

TEST_GROUP(HttpServer) {
  loop Loop;
  http_server Server{
      Loop,
      {.Address = HttpAddress, .MaxBodyBytes = 100},
      [](const http_request &Request, const http_responder &Respond) {
        Respond({.Body = Request.Method + " " + Request.Target + " " +
                         Request.Body});
      }};

  void setup() override { CHECK_TRUE(Server.start().has_value()); }
};

TEST(HttpServer, answersRequestsInOrderOnOneConnection) {
  const std::string Answer = exchangeRaw(
      Loop, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
            "GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const auto First = Answer.find("POST /a hi");
  const auto Second = Answer.find("GET /b ");
  CHECK_TRUE(First != std::string::npos && Second != std::string::npos);
  CHECK_TRUE(First < Second);
}

TEST(HttpServer, badInputGetsItsStatus) {
  STRCMP_CONTAINS("HTTP/1.1 400",
                  exchangeRaw(Loop, "nonsense\r\n\r\n").c_str());
  STRCMP_CONTAINS("HTTP/1.1 413",
                  exchangeRaw(Loop, "POST /a HTTP/1.1\r\nHost: x\r\n"
                                    "Content-Length: 101\r\n\r\n")
                      .c_str());
  STRCMP_CONTAINS("HTTP/1.1 431",
                  exchangeRaw(Loop, "GET /a HTTP/1.1\r\nHost: " +
                                        std::string(20'000, 'x') + "\r\n\r\n")
                      .c_str());
}

namespace {

/// Keeps each request's responder and leaves the requests unanswered.
struct unanswering_server {
  explicit unanswering_server(loop &Loop)
      : Server(Loop, {.Address = HttpAddress},
               [this](const http_request &, const http_responder &To) {
                 Open.push_back(To);
               }) {
    CHECK_TRUE(Server.start().has_value());
  }

  std::vector<http_responder> Open;
  http_server Server;
};

} // namespace

// Guards against work for a caller that has left: the close is seen when the
// request is read, although it came in while nothing was read.
TEST(Links, aCallerThatLeftBeforeItsRequestWasReadIsNotConnected) {
  loop Loop;
  const unanswering_server Server(Loop);
  for (const std::string &Further : {std::string(), std::string("GET /y")}) {
    tcp::socket Socket(Loop.context());
    Socket.connect(parseEndpoint(HttpAddress).value());
    asio::write(Socket,
                asio::buffer("GET /x HTTP/1.1\r\nHost: x\r\n\r\n" + Further));
    Socket.close();
    const std::size_t Before = Server.Open.size();
    CHECK_TRUE(runUntil(Loop, [&] { return Server.Open.size() > Before; }));
    CHECK_FALSE(Server.Open.back().callerConnected());
  }
}

TEST(Links, aCallerThatWaitsIsConnected) {
  loop Loop;
  const unanswering_server Server(Loop);
  tcp::socket Socket(Loop.context());
  Socket.connect(parseEndpoint(HttpAddress).value());
  asio::write(Socket,
              asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: x\r\n\r\n"
                                       "GET /y HTTP/1.1\r\n")));
  CHECK_TRUE(runUntil(Loop, [&] { return !Server.Open.empty(); }));
  CHECK_TRUE(Server.Open.back().callerConnected());
  Socket.close();
  CHECK_TRUE(
      runUntil(Loop, [&] { return !Server.Open.back().callerConnected(); }));
}

TEST(Links, anErrorInAHandlerEndsOnlyItsConnection) {
  loop Loop;
  int Calls = 0;
  http_server Server(Loop, {.Address = HttpAddress},
                     [&Calls](const http_request &, const http_responder &To) {
                       if (++Calls == 1)
                         throw std::runtime_error("unexpected");
                       To({.Body = "fine"});
                     });
  CHECK_TRUE(Server.start().has_value());
  const std::string Asked = "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n";
  STRCMP_CONTAINS("HTTP/1.1 500", exchangeRaw(Loop, Asked).c_str());
  STRCMP_CONTAINS("fine", exchangeRaw(Loop, Asked).c_str());
}

TEST(Links, anErrorOnAFrameEndsOnlyItsLink) {
  loop Loop;
  frame_server Server(Loop);
  std::vector<std::shared_ptr<frame_link>> Accepted;
  int Frames = 0;
  int Lost = 0;
  CHECK_TRUE(Server
                 .start(LinkAddress,
                        [&](std::shared_ptr<frame_link> Link) {
                          Accepted.push_back(Link);
                          Link->start(
                              [&Frames](std::string_view Frame) {
                                if (Frame == "bad")
                                  throw std::runtime_error("unexpected");
                                ++Frames;
                              },
                              [&Lost] { ++Lost; });
                        })
                 .has_value());
  frame_dialer Dialer(Loop, {.Address = LinkAddress}, {});
  CHECK_TRUE(runUntil(Loop, [&] { return Dialer.connected(); }));
  Dialer.send("bad");
  CHECK_TRUE(runUntil(Loop, [&] { return Lost == 1; }));
  CHECK_TRUE(runUntil(Loop, [&] { return Accepted.size() == 2; }));
  CHECK_TRUE(runUntil(Loop, [&] {
    Dialer.send("good");
    return Frames > 0;
  }));
  Accepted.back()->close();
}
