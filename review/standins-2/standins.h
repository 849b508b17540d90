// Stand-ins for the second review: a small deployment of the platform's
// programs on loopback, an operator, clients and upstreams.
//
// What they send: the operator posts configurations and reads them back;
// clients send HTTP/1.1 requests with X-Attempt-Id and X-Deadline-Ms; upstreams
// post heartbeats and departures to the control instances and answer requests
// and health checks. What they check is up to each case. Times are in
// milliseconds since the start of the case, sizes in bytes.

#ifndef REVIEW_STANDINS_2_STANDINS_H
#define REVIEW_STANDINS_2_STANDINS_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

/// Exit codes of a case.
enum class verdict : int { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Milliseconds since the first call.
std::int64_t nowMs();
void sleepMs(std::int64_t Milliseconds);
void sleepUntil(std::int64_t Time);

/// The case's record: what was sent, answered and run.
class record {
public:
  explicit record(const std::string &Path);
  ~record();
  record(const record &) = delete;
  record &operator=(const record &) = delete;

  void write(const std::string &Line);

private:
  std::mutex Mutex;
  std::FILE *File;
};

struct http_message {
  std::string Start;
  int Status = 0;
  /// Names in lower case.
  std::map<std::string, std::string> Fields;
  std::string Body;
  /// False if the connection ended before the message did.
  bool Complete = false;

  [[nodiscard]] std::string field(const std::string &Name) const;
};

/// A blocking connection with time limits.
class connection {
public:
  connection() = default;
  explicit connection(int Accepted) : Handle(Accepted) {}
  ~connection() { close(); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  bool open(const std::string &Address, std::int64_t LimitMs);
  bool send(const std::string &Bytes);
  /// Nothing if no head came in time or the connection ended before one.
  std::optional<http_message> read(std::int64_t LimitMs);
  [[nodiscard]] bool ended() const { return Ended; }
  void close();

private:
  bool receive(std::int64_t Deadline);
  bool receiveBody(http_message &Message, std::int64_t Deadline);

  int Handle = -1;
  bool Ended = false;
  std::string Received;
};

/// One call on a connection of its own. Status 0: no complete answer in time.
http_message call(const std::string &Address, const std::string &Method,
                  const std::string &Path, const std::string &Body,
                  std::int64_t LimitMs);

std::string clientRequest(const std::string &Method, const std::string &Path,
                          const std::string &Attempt, std::int64_t DeadlineMs,
                          const std::string &Body = {});

struct ports {
  int Link, Relay, Control, Directory, Front, Readiness, Metrics, Upstream;
};

struct node {
  std::string Name;
  std::string Host;
  std::string DataFolder;
  pid_t Process = -1;
};

/// Control instances and entries as separate processes, with the settings that
/// the platform makes from the templates of the deploy file.
class deployment {
public:
  deployment(std::string Root, std::string Folder, record &Log,
             std::size_t Controls, std::size_t Entries);
  ~deployment() { stop(); }
  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  bool start();
  /// True when every entry says that it is ready.
  bool awaitReady(std::int64_t LimitMs);
  void signalEntry(std::size_t Index, int Number);
  void signalControl(std::size_t Index, int Number);
  void killControl(std::size_t Index);
  void killEntry(std::size_t Index);
  void startEntry(std::size_t Index);
  /// Resident memory of an entry; 0 if it doesn't run.
  [[nodiscard]] std::size_t entryBytes(std::size_t Index) const;
  void restartControl(std::size_t Index, bool WithEmptyDisk);
  void stop();

  [[nodiscard]] std::string control(std::size_t Index) const;
  [[nodiscard]] std::string front(std::size_t Index) const;
  [[nodiscard]] std::vector<std::string> controls() const;
  /// Memory of an entry's machine in MB; to be chosen before the start.
  void setEntryMemory(int Megabytes) { EntryMemory = Megabytes; }
  [[nodiscard]] std::string upstreamHost(std::size_t Index) const;
  [[nodiscard]] const ports &allPorts() const { return Ports; }

  /// Sends a configuration as the operator does: to another instance after a
  /// failure or a second without an answer. Returns the last status.
  int putConfiguration(const std::string &Text, std::int64_t LimitMs);

private:
  [[nodiscard]] std::string host(int Last) const;
  [[nodiscard]] std::string seeds() const;
  void startControl(std::size_t Index, bool Bootstrap);
  void kill(node &Node);
  pid_t run(const std::string &Program, const std::string &Name,
            const std::string &Settings);
  bool findPorts();

  std::string Root;
  std::string Folder;
  record &Log;
  ports Ports{};
  int EntryMemory = 195;
  std::vector<node> Controls;
  std::vector<node> Entries;
};

struct upstream_options {
  std::string Id;
  std::string Service;
  std::string Address;
  std::vector<std::string> Controls;
  int Slots = 4;
  bool TellsLoad = true;
  std::int64_t HeartbeatMs = 1'500;
};

/// A request that an upstream began to run.
struct run {
  std::string Attempt;
  std::string Path;
  std::int64_t At = 0;
};

/// A sound upstream. It announces itself, answers its health check, refuses
/// requests for another instance with 421, and hands all others to the case.
class upstream {
public:
  using work =
      std::function<void(upstream &, connection &, const http_message &)>;

  upstream(upstream_options Chosen, record &Log, work Work);

  bool start();
  /// Reports its departure without having drained and serves on. Returns the
  /// time of the acknowledgement.
  std::optional<std::int64_t> leave(std::int64_t LimitMs);
  /// Cold again from now on, without a restart.
  void turnCold(std::int64_t ForMs);
  [[nodiscard]] std::vector<run> runs();
  [[nodiscard]] const std::string &id() const { return Options.Id; }
  [[nodiscard]] bool acknowledged() const { return Acknowledged; }
  /// Head of a signed success.
  [[nodiscard]] std::string signedHead(const http_message &Request,
                                       std::size_t BodyBytes) const;
  void answer(connection &To, const http_message &Request,
              const std::string &Body) const;

private:
  void accept(int Listener);
  void serve(int Handle);
  void announce();
  [[nodiscard]] std::int64_t coldLeftMs() const;

  upstream_options Options;
  record &Log;
  work Work;
  std::int64_t BornMs = 0;
  std::atomic<std::uint64_t> Sequence = 0;
  std::atomic<bool> Acknowledged = false;
  std::atomic<bool> Left = false;
  std::atomic<std::int64_t> ColdUntil = 0;
  std::atomic<int> Running = 0;
  std::mutex Mutex;
  std::vector<run> Runs;
};

struct route {
  std::string Name;
  std::string Kind;
  std::string Prefix;
  std::string Service;
  int TimeoutMs = 0;
  int LatencyMs = 0;
  int Attempts = 2;
};

struct configuration {
  int Version = 1;
  std::int64_t MaxBodyBytes = 67'108'864;
  double WarmUpPerSecond = 15;
  std::vector<route> Routes;
  std::vector<std::string> Services;
};

inline constexpr const char *Host = "review.example";

std::string text(const configuration &Chosen);

/// Runs a case: arguments are the repository's root, a temporary folder and the
/// path of the record. TROUBLE=0 in the environment leaves the disruption out.
int runCase(int Argc, char **Argv,
            verdict (*Case)(const std::string &Root, const std::string &Folder,
                            record &Log, bool Trouble));

} // namespace review

#endif // REVIEW_STANDINS_2_STANDINS_H
