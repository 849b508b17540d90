// Callers that send requests ahead and read the answers very slowly, beside
// ordinary ones.
//
// Sends: eight ordinary clients send a request of a route that is not
// idempotent every 150 ms each, on kept connections. CROWD connections
// (TROUBLE=0: none) send requests to a path without a route, one after the
// other, each with `Expect: 100-continue` and its body of one byte a little
// later, and read 128 bytes of the answers every 500 ms. Checks: of the
// ordinary requests that are still unanswered at their route's timeout_ms, no
// more than half have no answer half a second later. Records how long the
// readiness check got no answer.

#include "upstream.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace review;

constexpr std::int64_t TimeoutMs = 600;
constexpr std::int64_t SlackMs = 500;
constexpr std::int64_t DeadlineMs = 5'000;
constexpr int OrdinaryClients = 8;
constexpr int CrowdSize = 40;
constexpr std::int64_t CrowdMs = 40'000;

const std::string Configuration =
    R"({"version":"r1","limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"listeners":[{"host":"ficu95.example",)"
    R"("policy":[{"name":"r-1","kind":"unsafe","target_latency_ms":250,)"
    R"("priority":1,"match":{"path_prefix":"/pufi791/"},"action":)"
    R"({"service":"huvo11a","timeout_ms":600,"attempts":2}}]}],)"
    R"("clusters":[{"name":"huvo11a","health_path":"/healthz",)"
    R"("max_conns":300,"protocol":"h1","tls":false,"warmup_s":3.0,)"
    R"("warmup_per_s":15.0}]})";

struct counts {
  std::atomic<int> Sent = 0;
  std::atomic<int> Good = 0;
  std::atomic<int> Failed = 0;
  /// Unanswered at the route's timeout, and half a second later.
  std::atomic<int> AtTimeout = 0;
  std::atomic<int> Later = 0;
  std::atomic<int> Never = 0;
};

/// An ordinary client on a kept connection.
void ordinary(const endpoint &Front, int Number, counts &Counts, record &Record,
              const std::atomic<bool> &Stop) {
  connection Link;
  for (int Turn = 0; !Stop; ++Turn) {
    if (!Link.isOpen() && !Link.open(Front, 1'000)) {
      sleepMs(100);
      continue;
    }
    const std::string Id =
        pad(static_cast<std::uint64_t>(Number * 100'000 + Turn));
    const std::int64_t SentAt = nowMs();
    ++Counts.Sent;
    const bool Written = Link.send(
        "POST /pufi791/" + Id + " HTTP/1.1\r\nHost: ficu95.example\r\n" +
        "X-Attempt-Id: " + Id + "\r\nX-Deadline-Ms: " +
        std::to_string(DeadlineMs) + "\r\nContent-Length: 1\r\n\r\nx");
    const auto Reply = Written ? Link.read(DeadlineMs) : std::nullopt;
    const std::int64_t Took = nowMs() - SentAt;
    if (Took > TimeoutMs)
      ++Counts.AtTimeout;
    if (Took > TimeoutMs + SlackMs)
      ++Counts.Later;
    if (!Reply)
      ++Counts.Never;
    (Reply && Reply->status() == 200 ? Counts.Good : Counts.Failed)++;
    Record.line("answer " + Id + " " +
                std::to_string(Reply ? Reply->status() : 0) + " after " +
                std::to_string(Took) + " ms");
    if (!Reply)
      Link.close();
    sleepMs(150);
  }
}

/// One of the crowd.
void slowReader(const endpoint &Front, const std::atomic<bool> &Stop) {
  const std::string Head = "POST /none HTTP/1.1\r\nHost: ficu95.example\r\n"
                           "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n";
  while (!Stop) {
    const int Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // The segments of an Ethernet, not of the loopback interface.
    const int Segment = 1'460;
    const int Receive = 4'096;
    ::setsockopt(Handle, IPPROTO_TCP, TCP_MAXSEG, &Segment, sizeof(Segment));
    ::setsockopt(Handle, SOL_SOCKET, SO_RCVBUF, &Receive, sizeof(Receive));
    const int On = 1;
    ::setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Front.Port));
    inet_pton(AF_INET, Front.Ip.c_str(), &Address.sin_addr);
    if (::connect(Handle, reinterpret_cast<const sockaddr *>(&Address),
                  sizeof(Address)) != 0) {
      ::close(Handle);
      sleepMs(200);
      continue;
    }
    std::int64_t ReadAt = nowMs();
    bool Open = true;
    const auto Send = [&](const std::string &Bytes) {
      std::size_t Sent = 0;
      while (Open && !Stop && Sent < Bytes.size()) {
        if (nowMs() - ReadAt >= 500) {
          char Chunk[128];
          const ssize_t Read =
              ::recv(Handle, Chunk, sizeof(Chunk), MSG_DONTWAIT);
          Open = Read > 0 || (Read < 0 && errno == EAGAIN);
          ReadAt = nowMs();
        }
        const ssize_t Count =
            ::send(Handle, Bytes.data() + Sent, Bytes.size() - Sent,
                   MSG_NOSIGNAL | MSG_DONTWAIT);
        if (Count > 0)
          Sent += static_cast<std::size_t>(Count);
        else if (errno == EAGAIN)
          sleepMs(10);
        else
          Open = false;
      }
    };
    while (Open && !Stop) {
      Send(Head);
      sleepMs(3);
      Send("x");
    }
    ::close(Handle);
  }
}

int play(const std::string &RecordFile) {
  record Record(RecordFile);
  const char *Set = std::getenv("TROUBLE");
  const bool Trouble = Set == nullptr || std::string(Set) != "0";
  deployment Fleet(3, 1, {"trakia", "kapana", "maritsa"});
  Fleet.start();
  const auto Accepted = callControl(Fleet, 0, "POST", "/v1/Config.Replace",
                                    Configuration, 15'000);
  if (!Accepted || Accepted->status() != 200)
    return 2;
  std::vector<std::unique_ptr<upstream>> Upstreams;
  for (int Index = 0; Index < 3; ++Index) {
    Upstreams.push_back(std::make_unique<upstream>(
        upstream_settings{.Id = "i-" + std::to_string(Index),
                          .Service = "huvo11a",
                          .Zone =
                              Fleet.zones()[static_cast<std::size_t>(Index)],
                          .At = {Fleet.address(100 + Index), 8080}},
        Record));
    Upstreams.back()->startHeartbeats(Fleet);
  }
  sleepMs(3'000);

  counts Counts;
  std::atomic<bool> Stop = false;
  std::atomic<bool> StopCrowd = false;
  std::atomic<std::int64_t> LongestSilence = 0;
  std::vector<std::thread> Clients;
  for (int Number = 1; Number <= OrdinaryClients; ++Number)
    Clients.emplace_back([&, Number] {
      ordinary(Fleet.frontOf(0), Number, Counts, Record, Stop);
    });
  std::thread Readiness([&] {
    std::int64_t AnsweredAt = nowMs();
    while (!Stop) {
      const auto Reply =
          call(Fleet.readinessOf(0), "GET", "/v1/readyz", "", 1'000);
      if (Reply && Reply->status() == 200)
        AnsweredAt = nowMs();
      else
        Record.line("no answer to the readiness check");
      LongestSilence =
          std::max<std::int64_t>(LongestSilence, nowMs() - AnsweredAt);
      sleepMs(250);
    }
  });
  sleepMs(3'000);
  const int GoodBefore = Counts.Good;
  if (Trouble) {
    Record.line("the crowd comes");
    std::vector<std::thread> Crowd;
    for (int Number = 0; Number < CrowdSize; ++Number)
      Crowd.emplace_back([&] { slowReader(Fleet.frontOf(0), StopCrowd); });
    sleepMs(CrowdMs);
    StopCrowd = true;
    for (std::thread &Caller : Crowd)
      Caller.join();
    Record.line("the crowd has left");
  } else {
    sleepMs(CrowdMs);
  }
  sleepMs(3'000);
  Stop = true;
  for (std::thread &Client : Clients)
    Client.join();
  Readiness.join();
  Record.line("ordinary requests: " + std::to_string(Counts.Sent) + " sent, " +
              std::to_string(Counts.Good) + " answered 200, " +
              std::to_string(Counts.AtTimeout) + " unanswered at " +
              std::to_string(TimeoutMs) + " ms, " +
              std::to_string(Counts.Later) + " at " +
              std::to_string(TimeoutMs + SlackMs) + " ms, " +
              std::to_string(Counts.Never) +
              " never; longest time without an "
              "answer to the readiness check " +
              std::to_string(LongestSilence) + " ms");
  if (GoodBefore < 10)
    return 2;
  const bool Broken = 2 * Counts.Later > Counts.AtTimeout;
  Record.line(Broken ? "broken" : "held");
  return Broken ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return play(Arguments[1]);
  } catch (const std::exception &Fault) {
    std::cerr << Fault.what() << "\n";
    return 2;
  }
}
