// Common parts of the review's scripts: the project's programs as processes on
// loopback, small HTTP clients, and the record of a run. Times are in
// milliseconds of the steady clock, counted from the start of the run.

#ifndef FULMAR_REVIEW_STANDINS3_HARNESS_H
#define FULMAR_REVIEW_STANDINS3_HARNESS_H

#include <atomic>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

std::int64_t nowMs();
void sleepMs(std::int64_t Time);

/// record.txt: one line an event, with its time.
class record {
public:
  explicit record(const std::string &File);
  void line(const std::string &Text);

private:
  std::mutex Lock;
  std::ofstream Stream;
};

struct endpoint {
  std::string Ip;
  int Port = 0;
  [[nodiscard]] std::string text() const;
};

struct http_message {
  std::string StartLine;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;
  [[nodiscard]] int status() const;
  [[nodiscard]] std::string header(const std::string &Name) const;
};

/// A blocking connection of a client or of an accepted peer.
class connection {
public:
  connection() = default;
  explicit connection(int Accepted) : Handle(Accepted) {}
  ~connection() { close(); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  bool open(const endpoint &To, std::int64_t LimitMs);
  bool send(const std::string &Bytes) const;
  /// One message with a length or none; empty if it did not come whole.
  std::optional<http_message> read(std::int64_t LimitMs);
  [[nodiscard]] bool isOpen() const { return Handle >= 0; }
  /// The peer has closed or reset the connection.
  [[nodiscard]] bool ended() const { return Ended; }
  void close();

private:
  bool fill(std::int64_t DeadlineMs);

  bool Ended = false;

  int Handle = -1;
  std::string Buffer;
};

/// One request on a new connection.
std::optional<http_message> call(const endpoint &To, const std::string &Method,
                                 const std::string &Target,
                                 const std::string &Body, std::int64_t LimitMs,
                                 const std::string &Headers = "");

/// A listening socket; -1 if the address is taken.
int listenOn(const endpoint &At);
int acceptFrom(int Listener, std::int64_t LimitMs);
void closeSocket(int Handle);

/// A program of the deploy file with its settings file.
class program {
public:
  program(std::string Binary, std::string SettingsFile, std::string LogFile);
  ~program();
  program(const program &) = delete;
  program &operator=(const program &) = delete;

  void start();
  void signal(int Number) const;
  /// True once the process has ended; reaps it.
  bool ended();
  /// Kills it and waits for its end.
  void kill();
  /// Resident memory in KiB; 0 if it does not run.
  [[nodiscard]] long residentKib() const;
  [[nodiscard]] bool running() const { return Pid > 0; }

private:
  std::string Binary;
  std::string Settings;
  std::string Log;
  pid_t Pid = -1;
};

/// A small deployment: control instances and entries, each with an address of
/// its own in 127.0.0.0/8.
class deployment {
public:
  deployment(std::size_t ControlCount, std::size_t EntryCount,
             std::vector<std::string> Zones, long EntryMemoryMb = 217);
  ~deployment();
  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  /// Starts all programs with empty disks.
  void start();
  /// Writes the settings of a restart: the same, without bootstrap.
  void endBootstrap();
  [[nodiscard]] std::size_t controls() const { return Controls.size(); }
  [[nodiscard]] std::size_t entries() const { return Entries.size(); }
  program &control(std::size_t Index) { return *Controls[Index]; }
  program &entry(std::size_t Index) { return *Entries[Index]; }
  [[nodiscard]] endpoint controlAt(std::size_t Index) const;
  [[nodiscard]] endpoint frontOf(std::size_t Index) const;
  [[nodiscard]] endpoint readinessOf(std::size_t Index) const;
  /// A further address of this run, for a stand-in.
  [[nodiscard]] std::string address(int Host) const;
  [[nodiscard]] const std::string &folder() const { return Folder; }
  [[nodiscard]] const std::vector<std::string> &zones() const { return Zones; }

private:
  void writeControl(std::size_t Index, bool Bootstrap) const;
  void writeEntry(std::size_t Index) const;
  [[nodiscard]] std::string seeds() const;

  std::string Folder;
  std::string Prefix;
  std::vector<std::string> Zones;
  long EntryMemory;
  std::vector<std::unique_ptr<program>> Controls;
  std::vector<std::unique_ptr<program>> Entries;
};

/// Sends an operator's or an upstream's call to the control instances in turn,
/// as PROTOCOL.md tells: on after a failure, a 5xx or a second without an
/// answer; up to two 307 are followed. Empty if none answered within LimitMs.
std::optional<http_message> callControl(deployment &Fleet, std::size_t First,
                                        const std::string &Method,
                                        const std::string &Target,
                                        const std::string &Body,
                                        std::int64_t LimitMs);

std::string pad(std::uint64_t Number);

} // namespace review

#endif // FULMAR_REVIEW_STANDINS3_HARNESS_H
