// Processes, sockets and settings of the review's scripts.

#include "harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr int ControlPort = 8146;
constexpr int DirectoryPort = 8148;
constexpr int FrontPort = 8144;
constexpr int ReadinessPort = 8140;
constexpr int LinkPort = 7660;
constexpr int RelayPort = 7661;
constexpr int MetricsPort = 9464;
constexpr int FirstControl = 10;
constexpr int FirstEntry = 40;

const auto Origin = std::chrono::steady_clock::now();

sockaddr_in socketAddress(const endpoint &At) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(At.Port));
  inet_pton(AF_INET, At.Ip.c_str(), &Address.sin_addr);
  return Address;
}

bool await(int Handle, short Events, std::int64_t DeadlineMs) {
  pollfd Polled{.fd = Handle, .events = Events, .revents = 0};
  const std::int64_t Left = std::max<std::int64_t>(0, DeadlineMs - nowMs());
  return ::poll(&Polled, 1, static_cast<int>(Left)) > 0;
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) {
                   return static_cast<char>(std::tolower(Letter));
                 });
  return Text;
}

} // namespace

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Origin)
      .count();
}

void sleepMs(std::int64_t Time) {
  if (Time > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Time));
}

record::record(const std::string &File) : Stream(File) {}

void record::line(const std::string &Text) {
  const std::scoped_lock Held(Lock);
  Stream << nowMs() << " " << Text << std::endl;
}

std::string endpoint::text() const { return Ip + ":" + std::to_string(Port); }

int http_message::status() const {
  const auto Space = StartLine.find(' ');
  return Space == std::string::npos ? 0 : std::atoi(&StartLine[Space + 1]);
}

std::string http_message::header(const std::string &Name) const {
  const auto Found = Headers.find(lower(Name));
  return Found == Headers.end() ? std::string() : Found->second;
}

bool connection::open(const endpoint &To, std::int64_t LimitMs) {
  close();
  Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in Address = socketAddress(To);
  int Failed = ::connect(Handle, reinterpret_cast<const sockaddr *>(&Address),
                         sizeof(Address));
  if (Failed != 0 && errno == EINPROGRESS) {
    socklen_t Size = sizeof(Failed);
    if (!await(Handle, POLLOUT, nowMs() + LimitMs) ||
        ::getsockopt(Handle, SOL_SOCKET, SO_ERROR, &Failed, &Size) != 0)
      Failed = -1;
  }
  if (Failed != 0) {
    close();
    return false;
  }
  const int On = 1;
  ::setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return true;
}

void connection::close() {
  if (Handle >= 0)
    ::close(Handle);
  Handle = -1;
  Buffer.clear();
}

bool connection::send(const std::string &Bytes) const {
  constexpr std::int64_t Limit = 5'000;
  const std::int64_t Deadline = nowMs() + Limit;
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        ::send(Handle, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count > 0)
      Sent += static_cast<std::size_t>(Count);
    else if (Count == 0 || (errno != EAGAIN && errno != EINTR) ||
             !await(Handle, POLLOUT, Deadline))
      return false;
  }
  return true;
}

bool connection::fill(std::int64_t DeadlineMs) {
  char Chunk[16'384];
  for (;;) {
    const ssize_t Count = ::recv(Handle, Chunk, sizeof(Chunk), 0);
    if (Count > 0) {
      Buffer.append(Chunk, static_cast<std::size_t>(Count));
      return true;
    }
    Ended = Count == 0 || (errno != EAGAIN && errno != EINTR);
    if (Ended || !await(Handle, POLLIN, DeadlineMs))
      return false;
  }
}

std::optional<http_message> connection::read(std::int64_t LimitMs) {
  const std::int64_t Deadline = nowMs() + LimitMs;
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!fill(Deadline))
      return std::nullopt;
  }
  http_message Message;
  std::istringstream Head(Buffer.substr(0, End));
  std::string Line;
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    const auto Colon = Line.find(':');
    if (Message.StartLine.empty()) {
      Message.StartLine = Line;
    } else if (Colon != std::string::npos) {
      const auto Value = Line.find_first_not_of(' ', Colon + 1);
      Message.Headers[lower(Line.substr(0, Colon))] =
          Value == std::string::npos ? "" : Line.substr(Value);
    }
  }
  Buffer.erase(0, End + 4);
  const auto Size = static_cast<std::size_t>(
      std::atoll(Message.header("content-length").c_str()));
  while (Buffer.size() < Size) {
    if (!fill(Deadline))
      return std::nullopt;
  }
  Message.Body = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return Message;
}

std::optional<http_message> call(const endpoint &To, const std::string &Method,
                                 const std::string &Target,
                                 const std::string &Body, std::int64_t LimitMs,
                                 const std::string &Headers) {
  const std::int64_t Deadline = nowMs() + LimitMs;
  connection Link;
  if (!Link.open(To, LimitMs))
    return std::nullopt;
  std::string Request = Method + " " + Target + " HTTP/1.1\r\n" + Headers;
  if (Headers.rfind("Host:", 0) != 0)
    Request += "Host: " + To.text() + "\r\n";
  if (Method == "POST")
    Request += "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n";
  if (!Link.send(Request + "\r\n" + Body))
    return std::nullopt;
  return Link.read(Deadline - nowMs());
}

int listenOn(const endpoint &At) {
  const int Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Handle, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = socketAddress(At);
  constexpr int Backlog = 256;
  if (::bind(Handle, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(Handle, Backlog) != 0) {
    ::close(Handle);
    return -1;
  }
  return Handle;
}

int acceptFrom(int Listener, std::int64_t LimitMs) {
  if (!await(Listener, POLLIN, nowMs() + LimitMs))
    return -1;
  return ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
}

void closeSocket(int Handle) {
  if (Handle >= 0)
    ::close(Handle);
}

program::program(std::string Program, std::string SettingsFile,
                 std::string LogFile)
    : Binary(std::move(Program)), Settings(std::move(SettingsFile)),
      Log(std::move(LogFile)) {}

program::~program() { kill(); }

void program::start() {
  const std::string Variable = "FULMARSADDLE_BOOT=" + Settings;
  Pid = ::fork();
  if (Pid != 0)
    return;
  // No process outlives the script.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  constexpr int Mode = 0644;
  const int Output =
      ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, Mode);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  std::string Path = std::string("PATH=") + std::getenv("PATH");
  std::string Name = Binary;
  std::string Set = Variable;
  char *const Arguments[] = {Name.data(), nullptr};
  char *const Environment[] = {Path.data(), Set.data(), nullptr};
  ::execve(Binary.c_str(), Arguments, Environment);
  ::_exit(127);
}

void program::signal(int Number) const {
  if (Pid > 0)
    ::kill(Pid, Number);
}

bool program::ended() {
  if (Pid <= 0)
    return true;
  if (::waitpid(Pid, nullptr, WNOHANG) != Pid)
    return false;
  Pid = -1;
  return true;
}

void program::kill() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
  Pid = -1;
}

long program::residentKib() const {
  if (Pid <= 0)
    return 0;
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  std::string Line;
  while (std::getline(Status, Line)) {
    if (Line.rfind("VmRSS:", 0) == 0)
      return std::atol(Line.c_str() + 6);
  }
  return 0;
}

deployment::deployment(std::size_t ControlCount, std::size_t EntryCount,
                       std::vector<std::string> ZoneNames, long EntryMemoryMb)
    : Zones(std::move(ZoneNames)), EntryMemory(EntryMemoryMb) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  Folder = Pattern;
  // A /16 of its own: the ports of this run are free there.
  std::random_device Device;
  for (int Try = 0; Try < 50 && Prefix.empty(); ++Try) {
    const std::string Chosen = "127." + std::to_string(20 + Device() % 200) +
                               "." + std::to_string(1 + Device() % 250) + ".";
    const int Probe =
        listenOn({Chosen + std::to_string(FirstControl), ControlPort});
    if (Probe < 0)
      continue;
    ::close(Probe);
    Prefix = Chosen;
  }
  if (Prefix.empty())
    throw std::runtime_error("no free addresses");
  for (std::size_t Index = 0; Index < ControlCount; ++Index) {
    const std::string Name = Folder + "/control-" + std::to_string(Index);
    std::filesystem::create_directories(Name + "-data");
    Controls.push_back(std::make_unique<program>(
        "target/bin/fulmar-platform-control", Name + ".ini", Name + ".log"));
  }
  for (std::size_t Index = 0; Index < EntryCount; ++Index) {
    const std::string Name = Folder + "/entry-" + std::to_string(Index);
    Entries.push_back(std::make_unique<program>(
        "target/bin/fulmar-platform-entry", Name + ".ini", Name + ".log"));
  }
}

deployment::~deployment() {
  Controls.clear();
  Entries.clear();
  std::error_code Ignored;
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Folder, Ignored);
}

std::string deployment::address(int Host) const {
  return Prefix + std::to_string(Host);
}

endpoint deployment::controlAt(std::size_t Index) const {
  return {address(FirstControl + static_cast<int>(Index)), ControlPort};
}

endpoint deployment::frontOf(std::size_t Index) const {
  return {address(FirstEntry + static_cast<int>(Index)), FrontPort};
}

endpoint deployment::readinessOf(std::size_t Index) const {
  return {address(FirstEntry + static_cast<int>(Index)), ReadinessPort};
}

std::string deployment::seeds() const {
  std::string Text;
  for (std::size_t Index = 0; Index < std::min<std::size_t>(3, Controls.size());
       ++Index)
    Text += (Index == 0 ? "" : ",") + controlAt(Index).text();
  return Text;
}

void deployment::writeControl(std::size_t Index, bool Bootstrap) const {
  const std::string Ip = controlAt(Index).Ip;
  const std::string Name = Folder + "/control-" + std::to_string(Index);
  std::string Listed;
  for (const std::string &Zone : Zones)
    Listed += (Listed.empty() ? "" : ",") + Zone;
  std::ofstream(Name + ".ini")
      << "[instance]\nid = control-" << Index
      << "\ndata_centre = " << Zones[Index % Zones.size()]
      << "\nregion = region\nip = " << Ip << "\nlink_port = " << LinkPort
      << "\n[control]\nlisten = " << controlAt(Index).text()
      << "\ndirectory = " << Ip << ":" << DirectoryPort
      << "\ndata_folder = " << Name
      << "-data\nbootstrap = " << (Bootstrap ? "true" : "false")
      << "\nseeds = " << seeds()
      << "\ntolerated_disk_losses = " << (Controls.size() >= 5 ? 2 : 1)
      << "\ndata_centres = " << Listed
      << "\n[directory]\nanswer_s = 5\n[metrics]\nlisten = " << Ip << ":"
      << MetricsPort << "\n[log]\nfile = stdout\n";
}

void deployment::writeEntry(std::size_t Index) const {
  const std::string Ip = frontOf(Index).Ip;
  std::ofstream(Folder + "/entry-" + std::to_string(Index) + ".ini")
      << "[instance]\nid = entry-" << Index
      << "\ndata_centre = " << Zones[Index % Zones.size()]
      << "\nregion = region\nip = " << Ip << "\nlink_port = " << LinkPort
      << "\n[control]\nseeds = " << seeds()
      << "\n[entry]\nlisten = " << frontOf(Index).text()
      << "\nrelay_listen = " << Ip << ":" << RelayPort
      << "\nreadiness = " << readinessOf(Index).text()
      << "\nmemory_mb = " << EntryMemory
      << "\nprobes_per_s = 60\nretry_ratio = 0.2\n"
         "retry_slack = 80\nretry_window_s = 10\ngrace_s = 6\n"
         "[metrics]\nlisten = "
      << Ip << ":" << MetricsPort << "\n[log]\nfile = stdout\n";
}

void deployment::start() {
  for (std::size_t Index = 0; Index < Controls.size(); ++Index) {
    writeControl(Index, true);
    Controls[Index]->start();
  }
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    writeEntry(Index);
    Entries[Index]->start();
  }
}

void deployment::endBootstrap() {
  for (std::size_t Index = 0; Index < Controls.size(); ++Index)
    writeControl(Index, false);
}

std::optional<http_message> callControl(deployment &Fleet, std::size_t First,
                                        const std::string &Method,
                                        const std::string &Target,
                                        const std::string &Body,
                                        std::int64_t LimitMs) {
  constexpr std::int64_t AnswerLimit = 1'000;
  constexpr std::int64_t Pause = 50;
  constexpr int LastSuccess = 299;
  constexpr int Redirect = 307;
  constexpr int FirstServerError = 500;
  const std::int64_t Deadline = nowMs() + LimitMs;
  for (std::size_t Try = First; nowMs() < Deadline; ++Try) {
    const endpoint To = Fleet.controlAt(Try % Fleet.controls());
    std::string Path = Target;
    for (int Follow = 0; Follow < 3; ++Follow) {
      const auto Reply = call(To, Method, Path, Body, AnswerLimit);
      if (!Reply)
        break;
      if (Reply->status() == Redirect) {
        const std::string Location = Reply->header("location");
        Path =
            Location.substr(Location.find('/', std::string("http://").size()));
        continue;
      }
      if (Reply->status() <= LastSuccess ||
          (Reply->status() < FirstServerError && Reply->status() != 408 &&
           Reply->status() != 429))
        return Reply;
      break;
    }
    sleepMs(Pause);
  }
  return std::nullopt;
}

std::string pad(std::uint64_t Number) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Number));
  return Text;
}

} // namespace review
