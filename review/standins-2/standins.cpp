// Sockets, processes and messages of the stand-ins.

#include "standins.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::int64_t CallLimitMs = 1'000;
constexpr std::int64_t LongestRequestMs = 30'000;
constexpr std::int64_t IdleLimitMs = 60'000;
constexpr const char *Zone = "a";

sockaddr_in endpointOf(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  sockaddr_in Endpoint{};
  Endpoint.sin_family = AF_INET;
  Endpoint.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Endpoint.sin_addr);
  return Endpoint;
}

int listenOn(const std::string &Address) {
  const int Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Handle, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Endpoint = endpointOf(Address);
  constexpr int Backlog = 512;
  if (::bind(Handle, reinterpret_cast<const sockaddr *>(&Endpoint),
             sizeof(Endpoint)) != 0 ||
      ::listen(Handle, Backlog) != 0) {
    ::close(Handle);
    return -1;
  }
  return Handle;
}

void tune(int Handle) {
  const int On = 1;
  ::setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

bool awaitEvent(int Handle, short Events, std::int64_t Deadline) {
  pollfd Polled{.fd = Handle, .events = Events, .revents = 0};
  for (;;) {
    const std::int64_t Left = Deadline - nowMs();
    if (Left <= 0)
      return false;
    const int Ready = ::poll(&Polled, 1, static_cast<int>(Left));
    if (Ready > 0)
      return true;
    if (Ready == 0 || errno != EINTR)
      return false;
  }
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) {
                   return static_cast<char>(std::tolower(Letter));
                 });
  return Text;
}

http_message parseHead(const std::string &Head) {
  http_message Message;
  std::size_t At = Head.find("\r\n");
  Message.Start = Head.substr(0, At);
  if (Message.Start.starts_with("HTTP/"))
    Message.Status =
        std::atoi(Message.Start.substr(Message.Start.find(' ') + 1).c_str());
  while (At != std::string::npos && At + 2 < Head.size()) {
    const std::size_t End = Head.find("\r\n", At + 2);
    const std::string Line = Head.substr(At + 2, End - At - 2);
    const auto Colon = Line.find(':');
    if (Colon != std::string::npos) {
      const auto Value = Line.find_first_not_of(' ', Colon + 1);
      Message.Fields[lower(Line.substr(0, Colon))] =
          Value == std::string::npos ? "" : Line.substr(Value);
    }
    At = End;
  }
  return Message;
}

} // namespace

std::int64_t nowMs() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

void sleepMs(std::int64_t Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

void sleepUntil(std::int64_t Time) {
  sleepMs(std::max<std::int64_t>(0, Time - nowMs()));
}

record::record(const std::string &Path) : File(std::fopen(Path.c_str(), "w")) {}

record::~record() {
  if (File != nullptr)
    std::fclose(File);
}

void record::write(const std::string &Line) {
  const std::scoped_lock Lock(Mutex);
  if (File == nullptr)
    return;
  std::fprintf(File, "%8lld %s\n", static_cast<long long>(nowMs()),
               Line.c_str());
  std::fflush(File);
}

std::string http_message::field(const std::string &Name) const {
  const auto Found = Fields.find(Name);
  return Found == Fields.end() ? "" : Found->second;
}

bool connection::open(const std::string &Address, std::int64_t LimitMs) {
  close();
  Ended = false;
  Received.clear();
  Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in Endpoint = endpointOf(Address);
  if (::connect(Handle, reinterpret_cast<const sockaddr *>(&Endpoint),
                sizeof(Endpoint)) != 0) {
    int Failed = 0;
    socklen_t Size = sizeof(Failed);
    if (errno != EINPROGRESS ||
        !awaitEvent(Handle, POLLOUT, nowMs() + LimitMs) ||
        ::getsockopt(Handle, SOL_SOCKET, SO_ERROR, &Failed, &Size) != 0 ||
        Failed != 0) {
      close();
      return false;
    }
  }
  tune(Handle);
  return true;
}

bool connection::send(const std::string &Bytes) {
  std::size_t Sent = 0;
  const std::int64_t Deadline = nowMs() + LongestRequestMs;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        ::send(Handle, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count > 0) {
      Sent += static_cast<std::size_t>(Count);
      continue;
    }
    const bool Full = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (!Full || !awaitEvent(Handle, POLLOUT, Deadline))
      return false;
  }
  return true;
}

bool connection::receive(std::int64_t Deadline) {
  if (Handle < 0 || Ended || !awaitEvent(Handle, POLLIN, Deadline))
    return false;
  char Chunk[16'384];
  const ssize_t Count = ::recv(Handle, Chunk, sizeof(Chunk), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return true;
  if (Count <= 0) {
    Ended = true;
    return false;
  }
  Received.append(Chunk, static_cast<std::size_t>(Count));
  return true;
}

bool connection::receiveBody(http_message &Message, std::int64_t Deadline) {
  if (lower(Message.field("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t End = 0;
      while ((End = Received.find("\r\n")) == std::string::npos)
        if (!receive(Deadline))
          return false;
      const std::size_t Size = std::stoul(Received.substr(0, End), nullptr, 16);
      while (Received.size() < End + 2 + Size + 2)
        if (!receive(Deadline))
          return false;
      Message.Body += Received.substr(End + 2, Size);
      Received.erase(0, End + 2 + Size + 2);
      if (Size == 0)
        return true;
    }
  }
  const std::string Length = Message.field("content-length");
  const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
  while (Received.size() < Size) {
    if (!receive(Deadline)) {
      Message.Body = std::exchange(Received, {});
      return false;
    }
  }
  Message.Body = Received.substr(0, Size);
  Received.erase(0, Size);
  return true;
}

std::optional<http_message> connection::read(std::int64_t LimitMs) {
  const std::int64_t Deadline = nowMs() + LimitMs;
  std::size_t End = 0;
  while ((End = Received.find("\r\n\r\n")) == std::string::npos) {
    if (!receive(Deadline))
      return std::nullopt;
  }
  http_message Message = parseHead(Received.substr(0, End));
  Received.erase(0, End + 4);
  Message.Complete = receiveBody(Message, Deadline);
  return Message;
}

void connection::close() {
  if (Handle >= 0)
    ::close(std::exchange(Handle, -1));
}

http_message call(const std::string &Address, const std::string &Method,
                  const std::string &Path, const std::string &Body,
                  std::int64_t LimitMs) {
  connection To;
  if (!To.open(Address, LimitMs))
    return {};
  std::string Request = Method + " " + Path + " HTTP/1.1\r\nHost: " + Address +
                        "\r\nConnection: close\r\n";
  if (Method != "GET")
    Request += "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n";
  if (!To.send(Request + "\r\n" + Body))
    return {};
  auto Answer = To.read(LimitMs);
  return Answer && Answer->Complete ? std::move(*Answer) : http_message{};
}

std::string clientRequest(const std::string &Method, const std::string &Path,
                          const std::string &Attempt, std::int64_t DeadlineMs,
                          const std::string &Body) {
  std::string Request = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                        "\r\nX-Attempt-Id: " + Attempt +
                        "\r\nX-Deadline-Ms: " + std::to_string(DeadlineMs) +
                        "\r\n";
  if (Method != "GET")
    Request += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Request + "\r\n" + Body;
}

deployment::deployment(std::string RootFolder, std::string WorkFolder,
                       record &Record, std::size_t ControlCount,
                       std::size_t EntryCount)
    : Root(std::move(RootFolder)), Folder(std::move(WorkFolder)), Log(Record) {
  constexpr int FirstControl = 11;
  constexpr int FirstEntry = 61;
  for (std::size_t Index = 0; Index < ControlCount; ++Index)
    Controls.push_back(
        {.Name = "core-" + std::to_string(Index + 1),
         .Host = host(FirstControl + static_cast<int>(Index)),
         .DataFolder = Folder + "/disk-" + std::to_string(Index + 1)});
  for (std::size_t Index = 0; Index < EntryCount; ++Index)
    Entries.push_back({.Name = "edge-" + std::to_string(Index + 1),
                       .Host = host(FirstEntry + static_cast<int>(Index)),
                       .DataFolder = {}});
}

std::string deployment::host(int Last) const {
  constexpr int Block = 200;
  const int Id = getpid();
  return "127." + std::to_string(20 + Id / Block % Block) + "." +
         std::to_string(1 + Id % Block) + "." + std::to_string(Last);
}

std::string deployment::upstreamHost(std::size_t Index) const {
  constexpr int FirstUpstream = 101;
  return host(FirstUpstream + static_cast<int>(Index));
}

bool deployment::findPorts() {
  constexpr int First = 21'000;
  constexpr int Last = 29'000;
  constexpr int Step = 20;
  for (int Base = First; Base < Last; Base += Step) {
    Ports = {Base,      Base + 15, Base + 16, Base + 13,
             Base + 14, Base + 10, Base + 18, Base + 17};
    bool Free = true;
    for (int Port = Base; Free && Port < Base + Step; ++Port) {
      const int Handle = listenOn(host(1) + ":" + std::to_string(Port));
      Free = Handle >= 0;
      if (Free)
        ::close(Handle);
    }
    if (Free)
      return true;
  }
  return false;
}

bool deployment::start() {
  if (!findPorts())
    return false;
  for (std::size_t Index = 0; Index < Controls.size(); ++Index)
    startControl(Index, true);
  for (std::size_t Index = 0; Index < Entries.size(); ++Index)
    startEntry(Index);
  return true;
}

std::string deployment::seeds() const {
  constexpr std::size_t Told = 3;
  std::string List;
  for (std::size_t Index = 0; Index < std::min(Told, Controls.size()); ++Index)
    List += (List.empty() ? "" : ",") + control(Index);
  return List;
}

void deployment::startControl(std::size_t Index, bool Bootstrap) {
  node &Node = Controls[Index];
  std::filesystem::create_directories(Node.DataFolder);
  Node.Process =
      run("target/bin/fulmar-platform-control", Node.Name,
          "[instance]\nid = " + Node.Name + "\ndata_centre = " + Zone +
              "\nregion = r\nip = " + Node.Host +
              "\nlink_port = " + std::to_string(Ports.Link) +
              "\n[control]\nlisten = " + control(Index) + "\ndirectory = " +
              Node.Host + ":" + std::to_string(Ports.Directory) +
              "\ndata_folder = " + Node.DataFolder +
              "\nbootstrap = " + (Bootstrap ? "true" : "false") +
              "\nseeds = " + seeds() + "\ndata_centres = " + Zone +
              "\n[directory]\nanswer_s = 5\n[metrics]\nlisten = " + Node.Host +
              ":" + std::to_string(Ports.Metrics) + "\n[log]\nfile = stdout\n");
}

void deployment::startEntry(std::size_t Index) {
  node &Node = Entries[Index];
  Node.Process = run(
      "target/bin/fulmar-platform-entry", Node.Name,
      "[instance]\nid = " + Node.Name + "\ndata_centre = " + Zone +
          "\nregion = r\nip = " + Node.Host + "\nlink_port = " +
          std::to_string(Ports.Link) + "\n[control]\nseeds = " + seeds() +
          "\n[entry]\nlisten = " + front(Index) +
          "\nrelay_listen = " + Node.Host + ":" + std::to_string(Ports.Relay) +
          "\nreadiness = " + Node.Host + ":" + std::to_string(Ports.Readiness) +
          "\nmemory_mb = " + std::to_string(EntryMemory) +
          "\nprobes_per_s = 60\nretry_ratio = 0.2"
          "\nretry_slack = 75\nretry_window_s = 10\ngrace_s = 6"
          "\n[metrics]\nlisten = " +
          Node.Host + ":" + std::to_string(Ports.Metrics) +
          "\n[log]\nfile = stdout\n");
}

pid_t deployment::run(const std::string &Program, const std::string &Name,
                      const std::string &Settings) {
  const std::string File = Folder + "/" + Name + ".ini";
  std::ofstream(File) << Settings;
  const std::string Output = Folder + "/" + Name + ".log";
  const std::string Path = Root + "/" + Program;
  const std::string Boot = "FULMARSADDLE_BOOT=" + File;
  const pid_t Child = ::fork();
  if (Child != 0) {
    Log.write("started " + Name + " as process " + std::to_string(Child));
    return Child;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::chdir(Root.c_str()) != 0)
    ::_exit(126);
  const int To = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(To, STDOUT_FILENO);
  ::dup2(To, STDERR_FILENO);
  char *const Arguments[] = {const_cast<char *>(Path.c_str()), nullptr};
  char *const Environment[] = {const_cast<char *>(Boot.c_str()), nullptr};
  ::execve(Path.c_str(), Arguments, Environment);
  ::_exit(127);
}

bool deployment::awaitReady(std::int64_t LimitMs) {
  const std::int64_t Deadline = nowMs() + LimitMs;
  for (const node &Node : Entries) {
    const std::string Address =
        Node.Host + ":" + std::to_string(Ports.Readiness);
    while (call(Address, "GET", "/v1/readyz", {}, CallLimitMs).Status != 200) {
      if (nowMs() > Deadline)
        return false;
      sleepMs(50);
    }
  }
  return true;
}

void deployment::signalEntry(std::size_t Index, int Number) {
  Log.write("signal " + std::to_string(Number) + " to " + Entries[Index].Name);
  ::kill(Entries[Index].Process, Number);
}

void deployment::signalControl(std::size_t Index, int Number) {
  Log.write("signal " + std::to_string(Number) + " to " + Controls[Index].Name);
  ::kill(Controls[Index].Process, Number);
}

void deployment::kill(node &Node) {
  if (Node.Process <= 0)
    return;
  Log.write("killed " + Node.Name);
  ::kill(Node.Process, SIGKILL);
  ::waitpid(Node.Process, nullptr, 0);
  Node.Process = -1;
}

void deployment::killControl(std::size_t Index) { kill(Controls[Index]); }

void deployment::killEntry(std::size_t Index) { kill(Entries[Index]); }

std::size_t deployment::entryBytes(std::size_t Index) const {
  const pid_t Process = Entries[Index].Process;
  std::ifstream File("/proc/" + std::to_string(Process) + "/statm");
  std::size_t Whole = 0;
  std::size_t Resident = 0;
  if (Process <= 0 || !(File >> Whole >> Resident))
    return 0;
  return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void deployment::restartControl(std::size_t Index, bool WithEmptyDisk) {
  killControl(Index);
  if (WithEmptyDisk) {
    std::filesystem::remove_all(Controls[Index].DataFolder);
    Log.write(Controls[Index].Name + " lost its disk");
  }
  startControl(Index, false);
}

void deployment::stop() {
  for (auto *Group : {&Controls, &Entries}) {
    for (node &Node : *Group) {
      if (Node.Process <= 0)
        continue;
      ::kill(Node.Process, SIGKILL);
      ::waitpid(Node.Process, nullptr, 0);
      Node.Process = -1;
    }
  }
}

std::string deployment::control(std::size_t Index) const {
  return Controls[Index].Host + ":" + std::to_string(Ports.Control);
}

std::string deployment::front(std::size_t Index) const {
  return Entries[Index].Host + ":" + std::to_string(Ports.Front);
}

std::vector<std::string> deployment::controls() const {
  std::vector<std::string> Addresses;
  for (std::size_t Index = 0; Index < Controls.size(); ++Index)
    Addresses.push_back(control(Index));
  return Addresses;
}

int deployment::putConfiguration(const std::string &Text,
                                 std::int64_t LimitMs) {
  const std::int64_t Deadline = nowMs() + LimitMs;
  int Status = 0;
  for (std::size_t Turn = 0; nowMs() < Deadline; ++Turn) {
    Status = call(control(Turn % Controls.size()), "POST", "/v1/Config.Replace",
                  Text, CallLimitMs)
                 .Status;
    if (Status == 200 || (Status >= 400 && Status < 500))
      break;
    sleepMs(50);
  }
  Log.write("configuration sent, status " + std::to_string(Status));
  return Status;
}

upstream::upstream(upstream_options Chosen, record &Record, work Handler)
    : Options(std::move(Chosen)), Log(Record), Work(std::move(Handler)) {}

bool upstream::start() {
  const int Listener = listenOn(Options.Address);
  if (Listener < 0)
    return false;
  BornMs = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
  std::thread([this, Listener] { accept(Listener); }).detach();
  std::thread([this] { announce(); }).detach();
  return true;
}

std::int64_t upstream::coldLeftMs() const {
  return std::max<std::int64_t>(0, ColdUntil - nowMs());
}

void upstream::turnCold(std::int64_t ForMs) {
  ColdUntil = nowMs() + ForMs;
  Log.write(Options.Id + " turned cold for " + std::to_string(ForMs) + " ms");
}

void upstream::announce() {
  for (std::size_t Turn = 0; !Left;) {
    const std::string Body =
        R"({"address":")" + Options.Address + R"(","born":)" +
        std::to_string(BornMs) + R"(,"info":{"service":")" + Options.Service +
        R"(","version":"v1","zone":")" + Zone + R"(","concurrency":)" +
        std::to_string(Options.Slots) +
        R"(},"status":{"state":"ready","sequence":)" +
        std::to_string(++Sequence) + R"(,"warmup_left_ms":)" +
        std::to_string(coldLeftMs()) + "}}";
    const int Status =
        call(Options.Controls[Turn % Options.Controls.size()], "POST",
             "/v1/Instances.Heartbeat/" + Options.Id, Body, CallLimitMs)
            .Status;
    if (Status / 100 == 2) {
      if (!Acknowledged.exchange(true))
        Log.write(Options.Id + " is announced");
      sleepMs(Options.HeartbeatMs);
    } else {
      ++Turn;
      sleepMs(100);
    }
  }
}

std::optional<std::int64_t> upstream::leave(std::int64_t LimitMs) {
  Left = true;
  const std::int64_t Deadline = nowMs() + LimitMs;
  const std::string Body = R"({"born":)" + std::to_string(BornMs) + "}";
  for (std::size_t Turn = 0; nowMs() < Deadline; ++Turn) {
    const int Status =
        call(Options.Controls[Turn % Options.Controls.size()], "POST",
             "/v1/Instances.Deregister/" + Options.Id, Body, CallLimitMs)
            .Status;
    if (Status / 100 == 2) {
      Log.write(Options.Id + " left, acknowledged; it serves on");
      return nowMs();
    }
  }
  Log.write(Options.Id + " left without an acknowledgement");
  return std::nullopt;
}

std::vector<run> upstream::runs() {
  const std::scoped_lock Lock(Mutex);
  return Runs;
}

void upstream::accept(int Listener) {
  for (;;) {
    const int Handle = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Handle < 0)
      continue;
    tune(Handle);
    ::fcntl(Handle, F_SETFL, ::fcntl(Handle, F_GETFL) | O_NONBLOCK);
    std::thread([this, Handle] { serve(Handle); }).detach();
  }
}

void upstream::serve(int Handle) {
  connection Peer(Handle);
  while (const auto Request = Peer.read(IdleLimitMs)) {
    if (!Request->Complete)
      return;
    if (Request->Start.starts_with("GET /healthz ")) {
      std::string Head = std::string("HTTP/1.1 ") +
                         (Left ? "503 Service Unavailable" : "200 OK") +
                         "\r\nX-Instance-Id: " + Options.Id + "\r\n";
      if (Options.TellsLoad)
        Head += "X-Upstream-Load: " + std::to_string(Running) + ",0," +
                std::to_string(Options.Slots) + "\r\n";
      if (coldLeftMs() > 0)
        Head += "X-Warmup-Ms: " + std::to_string(coldLeftMs()) + "\r\n";
      if (!Peer.send(Head + "Content-Length: 0\r\n\r\n"))
        return;
      continue;
    }
    const std::string Expected = Request->field("x-expect-instance");
    if (!Expected.empty() && Expected != Options.Id) {
      if (!Peer.send("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " +
                     Request->field("x-attempt-id") + "\r\nX-Instance-Id: " +
                     Options.Id + "\r\nContent-Length: 0\r\n\r\n"))
        return;
      continue;
    }
    const auto First = Request->Start.find(' ');
    const std::string Path =
        Request->Start.substr(First + 1, Request->Start.rfind(' ') - First - 1);
    const std::string Attempt = Request->field("x-attempt-id");
    {
      const std::scoped_lock Lock(Mutex);
      Runs.push_back({.Attempt = Attempt, .Path = Path, .At = nowMs()});
    }
    Log.write(Options.Id + " runs " + Attempt + " " + Path);
    ++Running;
    Work(*this, Peer, *Request);
    --Running;
    if (Peer.ended())
      return;
  }
}

std::string upstream::signedHead(const http_message &Request,
                                 std::size_t BodyBytes) const {
  const std::string Attempt = Request.field("x-attempt-id");
  std::string Head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Attempt +
                     "\r\nX-Upstream-Signature: " + Options.Id + "." + Attempt +
                     "\r\nContent-Length: " + std::to_string(BodyBytes) +
                     "\r\n";
  if (Options.TellsLoad)
    Head += "X-Upstream-Load: " + std::to_string(Running - 1) + ",0," +
            std::to_string(Options.Slots) + "\r\n";
  return Head + "\r\n";
}

void upstream::answer(connection &To, const http_message &Request,
                      const std::string &Body) const {
  const bool Sent = To.send(signedHead(Request, Body.size()) + Body);
  Log.write(Options.Id + (Sent ? " answered " : " could not answer ") +
            Request.field("x-attempt-id"));
}

std::string text(const configuration &Chosen) {
  std::string Rules;
  for (const route &Route : Chosen.Routes)
    Rules += (Rules.empty() ? "" : ",") + std::string(R"({"name":")") +
             Route.Name + R"(","kind":")" + Route.Kind +
             R"(","target_latency_ms":)" + std::to_string(Route.LatencyMs) +
             R"(,"priority":1,"match":{"path_prefix":")" + Route.Prefix +
             R"("},"action":{"service":")" + Route.Service +
             R"(","timeout_ms":)" + std::to_string(Route.TimeoutMs) +
             R"(,"attempts":)" + std::to_string(Route.Attempts) + "}}";
  std::string Clusters;
  for (const std::string &Service : Chosen.Services)
    Clusters += (Clusters.empty() ? "" : ",") + std::string(R"({"name":")") +
                Service +
                R"(","health_path":"/healthz","max_conns":300,"protocol":"h1",)"
                R"("tls":false,"warmup_s":3.0,"warmup_per_s":)" +
                std::to_string(Chosen.WarmUpPerSecond) + "}";
  return R"({"version":"r)" + std::to_string(Chosen.Version) +
         R"(","limits":{"max_header_bytes":16384,"max_body_bytes":)" +
         std::to_string(Chosen.MaxBodyBytes) +
         R"(,"header_timeout_ms":3000,"idle_timeout_ms":15000},)" +
         R"("listeners":[{"host":")" + Host + R"(","policy":[)" + Rules +
         R"(]}],"clusters":[)" + Clusters + "]}";
}

int runCase(int Argc, char **Argv,
            verdict (*Case)(const std::string &, const std::string &, record &,
                            bool)) {
  constexpr int Arguments = 4;
  if (Argc != Arguments)
    return static_cast<int>(verdict::CouldNotRun);
  std::signal(SIGPIPE, SIG_IGN);
  (void)nowMs();
  const char *Chosen = std::getenv("TROUBLE");
  const bool Trouble = Chosen == nullptr || std::strcmp(Chosen, "0") != 0;
  record Log(Argv[3]);
  Log.write(Trouble ? "with the disruption" : "without the disruption");
  const verdict Ended = Case(Argv[1], Argv[2], Log, Trouble);
  Log.write(Ended == verdict::Held     ? "verdict: the rule held"
            : Ended == verdict::Broken ? "verdict: the rule was broken"
                                       : "verdict: the case could not run");
  // Threads of the stand-ins are still running.
  std::fflush(nullptr);
  ::_exit(static_cast<int>(Ended));
}

} // namespace review
