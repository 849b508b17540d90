// Endless responses and responses too long to be buffered: what callers get,
// and how much memory the entry uses.

#include "fulmar/testing/property.h"
#include "tests/gatewayfixture.h"

#include <algorithm>
#include <fstream>

using namespace fulmar;
using namespace fulmar::gateway;
using std::chrono::milliseconds;

/// Keeps the quarantine of freed memory of the address sanitizer small, so that
/// it doesn't distort the measured memory use.
extern "C" const char *__asan_default_options() {
  return "quarantine_size_mb=4";
}

namespace {

std::size_t residentMemoryBytes() {
  std::ifstream Statistics("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  Statistics >> Total >> Resident;
  constexpr std::size_t PageBytes = 4'096;
  return Resident * PageBytes;
}

} // namespace

TEST_GROUP_BASE(LongResponses, gateway_fixture){};

TEST(LongResponses, endlessMalformedResponsesAreCutOffWithinABound) {
  const std::string Kilobyte(1'024, 'x');
  const std::string StatusAndId = "HTTP/1.1 200 OK\r\nT-Request: id1\r\n";
  struct malformed_case {
    const char *Name;
    std::string First;
    std::string Endless;
  };
  const std::vector<malformed_case> Cases = {
      {"no HTTP response", "", Kilobyte},
      {"endless head", StatusAndId, "X-More: " + Kilobyte + "\r\n"},
      {"endless header", StatusAndId + "X-More: ", Kilobyte},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"responses to other requests", "",
       "HTTP/1.1 200 OK\r\nT-Request: other\r\nContent-Length: 1\r\n\r\nx"},
      {"body of a response to another request",
       "HTTP/1.1 200 OK\r\nT-Request: other\r\nContent-Length: "
       "999999999\r\n\r\n",
       Kilobyte},
      {"unsigned body", StatusAndId + "\r\n", Kilobyte},
      {"chunk extension",
       StatusAndId + "T-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;",
       Kilobyte},
      {"trailers",
       StatusAndId +
           "T-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-More: " + Kilobyte + "\r\n"}};
  for (const malformed_case &Case : Cases) {
    Targets.clear();
    addTarget([&Case](const received_request &) {
      return target_action{.Bytes = Case.First, .Endless = Case.Endless};
    });
    const std::string Response = fetch(request("POST", "/write/x", "b"));
    CHECK_TEXT(Response.find("HTTP/1.1 502") == 0, Case.Name);
    CHECK_TEXT(runUntil([this] { return Targets[0]->endlessClosed() == 1; }),
               Case.Name);
    // Includes what was in the sockets' buffers.
    CHECK_TEXT(Targets[0]->endlessBytes() < (std::size_t(12) << 20U),
               Case.Name);
  }
}

TEST(LongResponses, aHundredEndlessResponsesStayWithinTheMemoryBound) {
  constexpr int Callers = 100;
  constexpr std::size_t MaxGrowth = std::size_t(56) << 20U;
  // Leaves time to send all requests even if the loop is slow.
  Plan.Routes[1].TimeoutMs = Plan.Routes[1].ObjectiveMs = 4'000;
  addTarget([](const received_request &Request) {
    return target_action{
        .Bytes = "HTTP/1.1 200 OK\r\nT-Signature: s\r\nT-Request: " +
                 std::string(headerOf(Request.Fields, "T-Request")) +
                 "\r\n\r\n",
        .Endless = std::string(16'384, 'x')};
  });
  Targets[0]->setLoad("0,0,1000,100");
  const std::size_t Before = residentMemoryBytes();
  std::vector<std::unique_ptr<test_caller>> Waiting;
  for (int Number = 0; Number < Callers; ++Number) {
    Waiting.push_back(std::make_unique<test_caller>(Loop, false));
    Waiting.back()->send(
        request("POST", "/write/x", "b", "T-Deadline: 4000\r\n"));
  }
  std::size_t Peak = Before;
  base::instant ReadAt{};
  // Reading the memory use costs more than the work between two readings.
  constexpr base::duration ReadInterval = milliseconds(20);
  CHECK_TRUE(runUntil(
      [&] {
        if (Loop.now() - ReadAt >= ReadInterval) {
          ReadAt = Loop.now();
          Peak = std::max(Peak, residentMemoryBytes());
        }
        return Targets[0]->endlessClosed() == Callers;
      },
      std::chrono::seconds(20)));
  CHECK_EQUAL(static_cast<std::size_t>(Callers), requestCount());
  CHECK_TRUE(Peak - Before < MaxGrowth);
}

TEST(LongResponses, aLongResponseIsStreamed) {
  // Builds with sanitizers are slow here.
  Plan.Routes[1].TimeoutMs = 20'000;
  const std::string Body(std::size_t(5) << 20U, 'y');
  addTarget([&Body](const received_request &Request) {
    if (Request.Target == "/write/sized")
      return target_action{.Bytes = scripted_target::ok(Request, Body)};
    return target_action{.Bytes = "HTTP/1.1 200 OK\r\nT-Request: id1\r\n"
                                  "T-Signature: s\r\n\r\n" +
                                  Body,
                         .Close = true};
  });
  for (const char *Path : {"/write/sized", "/write/unsized"}) {
    test_caller Caller(Loop);
    Caller.send(request("POST", Path, "b", "T-Deadline: 20000\r\n"));
    const bool Sized = std::string(Path) == "/write/sized";
    const auto Passed = [&Caller] {
      return static_cast<std::size_t>(
          std::count(Caller.Received.begin(), Caller.Received.end(), 'y'));
    };
    CHECK_TRUE(runUntil(
        [&] {
          return Caller.Received.size() > Body.size() &&
                 Passed() == Body.size() &&
                 (Sized || Caller.Received.ends_with("\r\n0\r\n\r\n"));
        },
        std::chrono::seconds(15)));
    CHECK_EQUAL(Body.size(), Passed());
    STRCMP_CONTAINS(Sized ? "Content-Length: 5242880" : "chunked",
                    Caller.Received.substr(0, 200).c_str());
    Caller.Received.clear();
    Caller.send(request("GET", "/other/x"));
    CHECK_TRUE(runUntil([&] { return !Caller.Received.empty(); }));
    STRCMP_CONTAINS("HTTP/1.1 404", Caller.Received.c_str());
    Caller.close();
  }
}

TEST(LongResponses, aTruncatedLongResponseNeverLooksComplete) {
  addTarget([](const received_request &Request) {
    std::string Bytes =
        Request.Target == "/write/chunked"
            ? "HTTP/1.1 200 OK\r\nT-Request: id1\r\nT-Signature: s\r\n"
              "Transfer-Encoding: chunked\r\n\r\n100000\r\n"
            : "HTTP/1.1 200 OK\r\nT-Request: id1\r\nT-Signature: s\r\n"
              "Content-Length: 2000000\r\n\r\n";
    return target_action{.Bytes = Bytes + std::string(1'000'000, 'y'),
                         .Close = true};
  });
  for (const char *Path : {"/write/chunked", "/write/sized"}) {
    test_caller Caller(Loop);
    Caller.send(request("POST", Path, "b"));
    CHECK_TRUE(runUntil([&Caller] { return Caller.Ended; }));
    STRCMP_CONTAINS("HTTP/1.1 200", Caller.Received.c_str());
    CHECK_FALSE(Caller.Received.ends_with("0\r\n\r\n"));
    CHECK_TRUE(Caller.Received.size() < 1'500'000);
  }
  // A response that was begun is neither replaced nor requested again.
  CHECK_EQUAL(2U, requestCount());
}

namespace {

/// Answers the head of a request at once with a part of a body that has no
/// length, never reads the request's body, and resets the connection.
class resetting_target {
public:
  resetting_target(eventloop::loop &Loop, const std::string &Address)
      : Acceptor(eventloop::listenOn(Loop, Address).value()),
        Socket(Loop.context()), Timer(Loop) {
    accept();
  }
  int Resets = 0;

private:
  void accept() {
    Acceptor.async_accept(Socket, [this](error_code Failed) {
      if (!Failed)
        read();
    });
  }
  void read() {
    Socket.async_read_some(asio::buffer(Chunk),
                           [this](error_code Failed, std::size_t Count) {
                             if (Failed)
                               return reset();
                             answer(std::string(Chunk.data(), Count));
                           });
  }
  void answer(const std::string &Head) {
    const bool Probe = Head.starts_with("GET /healthz");
    const auto At = std::min(Head.find("T-Request: "), Head.size());
    const std::string Id = Head.substr(At, Head.find('\r', At) - At);
    asio::write(Socket,
                asio::buffer(Probe ? "HTTP/1.1 200 OK\r\nT-Id: t0\r\nT-Load: "
                                     "0,0,4,100\r\nContent-Length: 0\r\n\r\n"
                                   : "HTTP/1.1 200 OK\r\nT-Signature: s\r\n" +
                                         Id + "\r\n\r\n" +
                                         std::string(3'000, 'p')));
    if (Probe)
      return read();
    Timer.after(std::chrono::milliseconds(300), [this] { reset(); });
  }
  void reset() {
    ++Resets;
    Socket.set_option(asio::socket_base::linger(true, 0));
    Socket.close();
    Socket = tcp::socket(Acceptor.get_executor());
    accept();
  }

  tcp::acceptor Acceptor;
  tcp::socket Socket;
  eventloop::timer Timer;
  std::array<char, 4'096> Chunk{};
};

} // namespace

// Guards against a part of a response that is taken for all of it: the write of
// the upload takes the error of the reset, and the read then sees an ordinary
// end.
TEST(LongResponses, aResponseThatIsResetDuringTheUploadNeverLooksComplete) {
  Plan.Limits.MaxBodyBytes = std::uint64_t(64) << 20U;
  resetting_target Target(Loop, "127.0.0.1:18570");
  fleet_view View{.Serial = 1,
                  .Plan = std::make_shared<fleet::routing_plan>(Plan),
                  .Entries = {"e"}};
  View.Targets.push_back({.Id = "t0",
                          .Service = "s",
                          .DataCentre = "pos",
                          .Address = "127.0.0.1:18570",
                          .Slots = 4,
                          .StartedAtMs = 1});
  Gateway.apply(View);
  test_caller Caller(Loop);
  const std::string Upload =
      request("POST", "/write/x", std::string(std::size_t(8) << 20U, 'u'));

  Caller.sendInBackground(Upload);
  CHECK_TRUE(runUntil([&Target] { return Target.Resets > 0; }));
  runUntil([&Caller] { return !Caller.Received.empty() || Caller.Ended; });
  CHECK_TRUE(Caller.Received.find("200 OK") == std::string::npos);
}
