// A stand-in upstream: answers health checks and requests as PROTOCOL.md tells
// and keeps the times at which requests reached it.

#ifndef FULMAR_REVIEW_STANDINS3_UPSTREAM_H
#define FULMAR_REVIEW_STANDINS3_UPSTREAM_H

#include "harness.h"

#include <chrono>
#include <thread>

namespace review {

struct upstream_settings {
  std::string Id;
  std::string Service;
  std::string Zone;
  endpoint At;
  int Slots = 8;
  std::int64_t WorkMs = 20;
  /// Answers health checks with `Connection: close`.
  bool HealthCloses = false;
};

/// One request that was run.
struct run_entry {
  std::string Attempt;
  std::int64_t AtMs = 0;
  std::string Body;
};

class upstream {
public:
  upstream(upstream_settings Chosen, record &Written);
  ~upstream();
  upstream(const upstream &) = delete;
  upstream &operator=(const upstream &) = delete;

  /// Body of a heartbeat; each has the next sequence number.
  std::string heartbeat(const std::string &State);
  /// Body of a departure.
  [[nodiscard]] std::string departure() const;
  [[nodiscard]] std::vector<run_entry> runs() const;
  [[nodiscard]] const upstream_settings &settings() const { return Settings; }
  /// Sends heartbeats to the control instances in turn until stopHeartbeats().
  void startHeartbeats(deployment &Fleet);
  void stopHeartbeats();
  /// Closes all connections and the listening socket.
  void exit();

private:
  void accept();
  void serve(int Handle);

  upstream_settings Settings;
  record &Record;
  std::int64_t BornMs;
  std::atomic<int> Sequence = 0;
  std::atomic<int> Running = 0;
  std::atomic<bool> Stop = false;
  std::atomic<bool> StopBeats = false;
  int Listener = -1;
  mutable std::mutex Lock;
  std::vector<run_entry> Runs;
  std::vector<std::thread> Workers;
  std::thread Acceptor;
  std::thread Beats;
};

inline upstream::upstream(upstream_settings Chosen, record &Written)
    : Settings(std::move(Chosen)), Record(Written),
      BornMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
      Listener(listenOn(Settings.At)) {
  Acceptor = std::thread([this] { accept(); });
}

inline upstream::~upstream() {
  stopHeartbeats();
  exit();
}

inline std::string upstream::heartbeat(const std::string &State) {
  return R"({"address":")" + Settings.At.text() + R"(","born":)" +
         std::to_string(BornMs) + R"(,"info":{"service":")" + Settings.Service +
         R"(","version":"v1","zone":")" + Settings.Zone +
         R"(","concurrency":)" + std::to_string(Settings.Slots) +
         R"(},"status":{"state":")" + State + R"(","sequence":)" +
         std::to_string(++Sequence) + R"(,"warmup_left_ms":0}})";
}

inline std::string upstream::departure() const {
  return R"({"born":)" + std::to_string(BornMs) + "}";
}

inline std::vector<run_entry> upstream::runs() const {
  const std::scoped_lock Held(Lock);
  return Runs;
}

inline void upstream::startHeartbeats(deployment &Fleet) {
  Beats = std::thread([this, &Fleet] {
    for (std::size_t Turn = 0; !StopBeats; ++Turn) {
      callControl(Fleet, Turn, "POST", "/v1/Instances.Heartbeat/" + Settings.Id,
                  heartbeat("ready"), 5'000);
      for (int Step = 0; Step < 15 && !StopBeats; ++Step)
        sleepMs(100);
    }
  });
}

inline void upstream::stopHeartbeats() {
  StopBeats = true;
  if (Beats.joinable())
    Beats.join();
}

inline void upstream::exit() {
  if (Stop.exchange(true))
    return;
  Acceptor.join();
  for (std::thread &Worker : Workers)
    Worker.join();
}

inline void upstream::accept() {
  while (!Stop) {
    const int Handle = acceptFrom(Listener, 50);
    if (Handle >= 0)
      Workers.emplace_back([this, Handle] { serve(Handle); });
  }
  closeSocket(Listener);
}

inline void upstream::serve(int Handle) {
  connection Link(Handle);
  while (!Stop) {
    const auto Request = Link.read(50);
    if (!Request) {
      if (Link.ended())
        return;
      continue;
    }
    const std::string Load =
        std::to_string(Running) + ",0," + std::to_string(Settings.Slots);
    if (Request->StartLine.rfind("GET /healthz ", 0) == 0) {
      Link.send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + Settings.Id +
                "\r\nX-Upstream-Load: " + Load +
                (Settings.HealthCloses ? "\r\nConnection: close" : "") +
                "\r\nContent-Length: 0\r\n\r\n");
      if (Settings.HealthCloses)
        return;
      continue;
    }
    const std::string Attempt = Request->header("x-attempt-id");
    const std::string Expected = Request->header("x-expect-instance");
    if (!Expected.empty() && Expected != Settings.Id) {
      Link.send("HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: " + Attempt +
                "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    ++Running;
    {
      const std::scoped_lock Held(Lock);
      Runs.push_back({Attempt, nowMs(), Request->Body});
    }
    Record.line("run " + Attempt + " at " + Settings.Id);
    sleepMs(Settings.WorkMs);
    --Running;
    Link.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Attempt +
              "\r\nX-Upstream-Signature: " + Attempt + "." + Settings.Id +
              "\r\nX-Upstream-Load: " + Load +
              "\r\nContent-Length: 2\r\n\r\nok");
  }
}

} // namespace review

#endif // FULMAR_REVIEW_STANDINS3_UPSTREAM_H
