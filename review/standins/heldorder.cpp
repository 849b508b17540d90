// Stand-ins for the platform, the operator, upstreams and clients of case 2.
//
// Platform: five control processes and four entries on loopback addresses, with
// settings filled from deploy/*.ini.tmpl (caroni-verbatim: evacuate_ms 5,000,
// contact_ms 3,000). With TROUBLE other than 0 it freezes one control process
// (SIGSTOP) for 8 s (SIGCONT). Upstreams: two in each of four zones, with a
// heartbeat every 1.5 s, health answers with a load, and answers after 20 ms.
// Clients: one at each entry, a safe request every 50 ms.
//
// Operator: evacuates zone chag, ends that after 3 s, evacuates it again 7 s
// after it sent that, and ends that after 8 s. An order without a clear answer
// within 1 s is sent again to the next instance. The first copy of the order
// that ends the first evacuation is sent to the frozen instance, just after it
// froze.
//
// Check (RULES.md, EVAC): no request reaches an upstream in chag later than 5 s
// after the second evacuation was acknowledged and before the order that ends
// it; counted from 3 s (contact_ms) after the process woke. Exit code 0 if so,
// 1 if not, 2 if the case could not run. Writes record.txt.
//
// Usage: heldorder REPOSITORY RECORD_FOLDER

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int Seeds = 3;
constexpr int Frozen = 4;
constexpr int ControlPort = 24'146;
constexpr int DirectoryPort = 24'143;
constexpr int LinkPort = 24'660;
constexpr int RelayPort = 24'661;
constexpr int FrontPort = 24'144;
constexpr int ReadinessPort = 24'140;
constexpr int TargetPort = 24'080;
constexpr milliseconds OrderWait(1'000);
constexpr milliseconds HeartbeatInterval(1'500);
constexpr milliseconds RequestInterval(50);
constexpr milliseconds WorkTime(20);
constexpr milliseconds EvacuateBound(5'000);
constexpr milliseconds ContactTime(3'000);
constexpr milliseconds FreezeTime(8'000);
constexpr milliseconds EvacuationGap(7'000);
constexpr milliseconds EvacuationTime(8'000);

const std::array<std::string, 4> Zones = {"pos", "sfdo", "arima", "chag"};
const std::string Evacuated = "chag";
const std::array<int, 5> ControlZones = {0, 0, 1, 2, 3};

const steady::time_point Begin = steady::now();
std::atomic<bool> Ending = false;

double secondsOf(steady::time_point Time) {
  return std::chrono::duration<double>(Time - Begin).count();
}

class record {
public:
  explicit record(const std::string &File) : Stream(File) {}
  void line(const std::string &Text) {
    const std::lock_guard Guard(Lock);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%9.3f s  ", secondsOf(steady::now()));
    Stream << Time << Text << std::endl;
  }

private:
  std::mutex Lock;
  std::ofstream Stream;
};

/// Kinds of machines; one block of loopback addresses each.
enum class machine { Control, Entry, Target };

std::string hostOf(machine Kind, int Index) {
  const int Id = static_cast<int>(getpid());
  return "127." + std::to_string(64 + Id % 64) + "." +
         std::to_string(Id / 64 % 80 * 3 + static_cast<int>(Kind)) + "." +
         std::to_string(Index + 1);
}

std::string at(machine Kind, int Index, int Port) {
  return hostOf(Kind, Index) + ":" + std::to_string(Port);
}

void replaceAll(std::string &Text, const std::string &From,
                const std::string &To) {
  for (auto Place = Text.find(From); Place != std::string::npos;
       Place = Text.find(From, Place + To.size()))
    Text.replace(Place, From.size(), To);
}

sockaddr_in addressOf(const std::string &Host, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Host.c_str(), &Address.sin_addr);
  return Address;
}

struct answer {
  int Status = 0;
  std::string Head;
};

/// One call on a connection of its own, which is closed after \p Wait.
std::optional<answer> call(const std::string &Host, int Port,
                           const std::string &Message, milliseconds Wait) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval Limit{static_cast<time_t>(Wait.count() / 1'000),
                      static_cast<suseconds_t>(Wait.count() % 1'000 * 1'000)};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  const sockaddr_in Address = addressOf(Host, Port);
  std::string In;
  const auto *Peer = reinterpret_cast<const sockaddr *>(&Address);
  if (::connect(Socket, Peer, sizeof(Address)) == 0 &&
      ::send(Socket, Message.data(), Message.size(), MSG_NOSIGNAL) > 0) {
    char Buffer[8'192];
    ssize_t Count = 0;
    while ((Count = ::recv(Socket, Buffer, sizeof(Buffer), 0)) > 0)
      In.append(Buffer, static_cast<std::size_t>(Count));
  }
  ::close(Socket);
  const auto HeadEnd = In.find("\r\n\r\n");
  if (HeadEnd == std::string::npos || In.size() < 12)
    return std::nullopt;
  return answer{std::atoi(In.c_str() + 9), In.substr(0, HeadEnd)};
}

std::string messageOf(const std::string &Start, const std::string &Body) {
  return Start +
         " HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

class processes {
public:
  processes(std::string RepositoryFolder, std::string WorkFolder)
      : Repository(std::move(RepositoryFolder)), Work(std::move(WorkFolder)) {}
  ~processes() {
    for (const pid_t Process : Started) {
      ::kill(Process, SIGKILL);
      ::waitpid(Process, nullptr, 0);
    }
  }

  pid_t startControl(int Index) {
    const std::string Name = "core-" + std::to_string(Index + 1);
    std::filesystem::create_directories(Work + "/" + Name);
    return start("control", Name, machine::Control, Index,
                 Zones[ControlZones[Index]]);
  }
  pid_t startEntry(int Index) {
    return start("entry", "edge-" + std::to_string(Index + 1), machine::Entry,
                 Index, Zones[Index]);
  }

private:
  pid_t start(const std::string &Role, const std::string &Name, machine Kind,
              int Index, const std::string &Zone) {
    std::ifstream Template(Repository + "/deploy/" + Role + ".ini.tmpl");
    std::string Text{std::istreambuf_iterator<char>(Template),
                     std::istreambuf_iterator<char>()};
    std::string SeedText;
    for (int Seed = 0; Seed < Seeds; ++Seed)
      SeedText +=
          (Seed > 0 ? "," : "") + at(machine::Control, Seed, ControlPort);
    const std::vector<std::pair<std::string, std::string>> Values = {
        {"#zones}}{{@}}{{,}}{{/zones", "pos,sfdo,arima,chag"},
        {"node_name", Name},
        {"zone", Zone},
        {"region", "tt"},
        {"ip", hostOf(Kind, Index)},
        {"port_range.0", std::to_string(LinkPort)},
        {"port_range.1", std::to_string(RelayPort)},
        {"listen.control", at(Kind, Index, ControlPort)},
        {"listen.directory", at(Kind, Index, DirectoryPort)},
        {"listen.front", at(Kind, Index, FrontPort)},
        {"listen.readiness", at(Kind, Index, ReadinessPort)},
        {"data_dir", Work + "/" + Name},
        {"bootstrap", "true"},
        {"seeds", SeedText},
        {"limits.memory_mb", "195"},
        {"bounds.ttl_max_s", "5"},
        {"bounds.probes_per_s", "60"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.retry_budget_slack", "80"},
        {"bounds.budget_window_s", "10"},
        {"bounds.grace_s", "6"}};
    for (const auto &[Key, Value] : Values)
      replaceAll(Text, "{{" + Key + "}}", Value);
    const std::string Settings = Work + "/" + Name + ".ini";
    std::ofstream(Settings) << Text;
    const std::string Program =
        Repository + "/target/bin/fulmar-platform-" + Role;
    const std::string Output = Work + "/" + Name + ".log";
    const pid_t Child = ::fork();
    if (Child == 0) {
      const int File = ::open(Output.c_str(), O_WRONLY | O_CREAT, 0600);
      ::dup2(File, STDOUT_FILENO);
      ::dup2(File, STDERR_FILENO);
      std::string Path = "PATH=/usr/bin:/bin";
      std::string Boot = "FULMARSADDLE_BOOT=" + Settings;
      std::string Word = Program;
      char *Words[] = {Word.data(), nullptr};
      char *Environment[] = {Path.data(), Boot.data(), nullptr};
      if (::chdir(Repository.c_str()) == 0)
        ::execve(Program.c_str(), Words, Environment);
      ::_exit(127);
    }
    Started.push_back(Child);
    return Child;
  }

  std::string Repository;
  std::string Work;
  std::vector<pid_t> Started;
};

/// An upstream: announces itself, answers health checks and requests, and
/// keeps the time of each request that it runs.
class target {
public:
  explicit target(int Number)
      : Index(Number), Id("i-" + std::to_string(70'000 + Number)),
        Zone(Zones[Number % Zones.size()]),
        BornMs(std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()) {}

  bool start() {
    Listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int On = 1;
    ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    const sockaddr_in Address =
        addressOf(hostOf(machine::Target, Index), TargetPort);
    if (::bind(Listener, reinterpret_cast<const sockaddr *>(&Address),
               sizeof(Address)) != 0 ||
        ::listen(Listener, 128) != 0)
      return false;
    std::thread([this] { accept(); }).detach();
    std::thread([this] { announce(); }).detach();
    return true;
  }

  [[nodiscard]] const std::string &zone() const { return Zone; }
  [[nodiscard]] long runsBetween(steady::time_point From,
                                 steady::time_point Until) {
    const std::lock_guard Guard(Lock);
    return std::count_if(Runs.begin(), Runs.end(), [&](const auto &Time) {
      return Time >= From && Time < Until;
    });
  }

private:
  void accept() {
    while (!Ending) {
      const int Socket = ::accept(Listener, nullptr, nullptr);
      if (Socket >= 0)
        std::thread([this, Socket] { serve(Socket); }).detach();
    }
  }

  void serve(int Socket) {
    std::string In;
    char Buffer[4'096];
    ssize_t Count = 0;
    while ((Count = ::recv(Socket, Buffer, sizeof(Buffer), 0)) > 0) {
      In.append(Buffer, static_cast<std::size_t>(Count));
      for (auto End = In.find("\r\n\r\n"); End != std::string::npos;
           End = In.find("\r\n\r\n")) {
        const std::string Out = answerTo(In.substr(0, End + 2));
        In.erase(0, End + 4);
        ::send(Socket, Out.data(), Out.size(), MSG_NOSIGNAL);
      }
    }
    ::close(Socket);
  }

  static std::string headerOf(const std::string &Head,
                              const std::string &Name) {
    const auto Place = Head.find("\r\n" + Name + ": ");
    if (Place == std::string::npos)
      return {};
    const auto Start = Place + Name.size() + 4;
    return Head.substr(Start, Head.find("\r\n", Start) - Start);
  }

  std::string answerTo(const std::string &Head) {
    if (Head.starts_with("GET /healthz "))
      return "HTTP/1.1 200 OK\r\nX-Instance-Id: " + Id +
             "\r\nX-Upstream-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n";
    const std::string Attempt =
        "X-Attempt-Id: " + headerOf(Head, "X-Attempt-Id") + "\r\n";
    if (headerOf(Head, "X-Expect-Instance") != Id)
      return "HTTP/1.1 421 Misdirected Request\r\n" + Attempt +
             "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    {
      const std::lock_guard Guard(Lock);
      Runs.push_back(steady::now());
    }
    std::this_thread::sleep_for(WorkTime);
    return "HTTP/1.1 200 OK\r\n" + Attempt + "X-Upstream-Signature: " + Id +
           "\r\nContent-Length: 2\r\n\r\nok";
  }

  void announce() {
    for (int Sequence = 1, Next = Index; !Ending; ++Sequence) {
      const std::string Body =
          R"({"address":")" + at(machine::Target, Index, TargetPort) +
          R"(","born":)" + std::to_string(BornMs) +
          R"(,"info":{"service":"registry","version":"v1","zone":")" + Zone +
          R"(","concurrency":4},"status":{"state":"ready","sequence":)" +
          std::to_string(Sequence) + R"(,"warmup_left_ms":0}})";
      const std::string Start = "POST /v1/Instances.Heartbeat/" + Id;
      for (std::size_t Try = 0; Try < ControlZones.size() && !Ending; ++Try) {
        const int Control = Next++ % static_cast<int>(ControlZones.size());
        const auto Answer = call(hostOf(machine::Control, Control), ControlPort,
                                 messageOf(Start, Body), OrderWait);
        if (Answer && Answer->Status / 100 == 2)
          break;
      }
      std::this_thread::sleep_for(HeartbeatInterval);
    }
  }

  int Index;
  std::string Id;
  std::string Zone;
  std::int64_t BornMs;
  int Listener = -1;
  std::mutex Lock;
  std::vector<steady::time_point> Runs;
};

/// Sends an order until it is acknowledged, first to \p First.
std::optional<steady::time_point> order(record &Record, int First,
                                        const std::string &Call,
                                        const std::string &Body = {}) {
  for (int Try = 0; Try < 20; ++Try) {
    const int Control = (First + Try) % static_cast<int>(ControlZones.size());
    const auto Answer = call(hostOf(machine::Control, Control), ControlPort,
                             messageOf("POST /v1/" + Call, Body), OrderWait);
    const std::string What = Call + " at core-" + std::to_string(Control + 1);
    if (Answer && Answer->Status == 200) {
      Record.line(What + ": acknowledged");
      return steady::now();
    }
    Record.line(What + ": no clear answer");
    std::this_thread::sleep_for(milliseconds(100));
  }
  return std::nullopt;
}

void sendRequests(int Entry, std::atomic<long> &Served) {
  for (long Number = 0; !Ending; ++Number) {
    const auto NextAt = steady::now() + RequestInterval;
    const std::string Id = std::to_string(Entry) + "-" + std::to_string(Number);
    const auto Answer = call(
        hostOf(machine::Entry, Entry), FrontPort,
        "GET /docket/1 HTTP/1.1\r\nHost: records.example\r\nX-Attempt-Id: " +
            Id + "\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n",
        milliseconds(2'000));
    if (Answer && Answer->Status == 200)
      ++Served;
    std::this_thread::sleep_until(NextAt);
  }
}

const char *Configuration =
    R"({"version":"r7","limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"listeners":[{"host":"records.example",)"
    R"("policy":[{"name":"r-docket","kind":"safe","target_latency_ms":600,)"
    R"("priority":2,"match":{"path_prefix":"/docket/"},"action":)"
    R"({"service":"registry","timeout_ms":4000,"attempts":2}}]}],"clusters":)"
    R"([{"name":"registry","health_path":"/healthz","max_conns":336,)"
    R"("protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":15.0}]})";

bool awaitReady() {
  const auto GivenUpAt = steady::now() + milliseconds(20'000);
  for (int Entry = 0; Entry < static_cast<int>(Zones.size());) {
    const auto Answer =
        call(hostOf(machine::Entry, Entry), ReadinessPort,
             messageOf("GET /v1/readyz", {}), milliseconds(1'000));
    if (Answer && Answer->Status == 200)
      ++Entry;
    else if (steady::now() > GivenUpAt)
      return false;
    else
      std::this_thread::sleep_for(milliseconds(100));
  }
  return true;
}

/// The two evacuations. Returns the exit code.
int evacuateTwice(record &Record, std::vector<std::unique_ptr<target>> &Targets,
                  pid_t FrozenProcess, bool Freezes) {
  if (!order(Record, 0, "Evacuate.Start/" + Evacuated))
    return 2;
  std::this_thread::sleep_for(milliseconds(3'000));
  const auto FrozenAt = steady::now();
  if (Freezes) {
    ::kill(FrozenProcess, SIGSTOP);
    Record.line("core-5 freezes");
  }
  if (!order(Record, Frozen, "Evacuate.Finish/" + Evacuated))
    return 2;
  std::this_thread::sleep_until(FrozenAt + EvacuationGap);
  const auto Acknowledged = order(Record, 1, "Evacuate.Start/" + Evacuated);
  if (!Acknowledged)
    return 2;
  std::this_thread::sleep_until(FrozenAt + FreezeTime);
  if (Freezes) {
    ::kill(FrozenProcess, SIGCONT);
    Record.line("core-5 wakes");
  }
  const auto From =
      std::max(*Acknowledged + EvacuateBound, steady::now() + ContactTime);
  std::this_thread::sleep_until(*Acknowledged + EvacuationTime);
  const auto Until = steady::now();
  long Reached = 0;
  long Others = 0;
  for (const auto &Target : Targets)
    (Target->zone() == Evacuated ? Reached : Others) +=
        Target->runsBetween(From, Until);
  order(Record, 2, "Evacuate.Finish/" + Evacuated);
  Record.line("from " + std::to_string(secondsOf(From)) + " s to " +
              std::to_string(secondsOf(Until)) + " s: " +
              std::to_string(Reached) + " requests reached upstreams in " +
              Evacuated + ", " + std::to_string(Others) + " those elsewhere");
  return Reached > 0 ? 1 : Others > 0 ? 0 : 2;
}

int run(const std::string &Repository, const std::string &Work,
        record &Record) {
  const char *Trouble = std::getenv("TROUBLE");
  const bool Freezes = Trouble == nullptr || std::string(Trouble) != "0";
  processes Processes(Repository, Work);
  std::vector<pid_t> Controls;
  for (int Index = 0; Index < static_cast<int>(ControlZones.size()); ++Index)
    Controls.push_back(Processes.startControl(Index));
  for (int Index = 0; Index < static_cast<int>(Zones.size()); ++Index)
    Processes.startEntry(Index);
  if (!order(Record, 0, "Config.Replace", Configuration))
    return 2;
  std::vector<std::unique_ptr<target>> Targets;
  for (int Index = 0; Index < 2 * static_cast<int>(Zones.size()); ++Index) {
    Targets.push_back(std::make_unique<target>(Index));
    if (!Targets.back()->start())
      return 2;
  }
  if (!awaitReady())
    return 2;
  std::atomic<long> Served = 0;
  std::vector<std::thread> Clients;
  for (int Entry = 0; Entry < static_cast<int>(Zones.size()); ++Entry)
    Clients.emplace_back([Entry, &Served] { sendRequests(Entry, Served); });
  std::this_thread::sleep_for(milliseconds(4'000));
  const int Code = evacuateTwice(Record, Targets, Controls[Frozen], Freezes);
  Ending = true;
  for (std::thread &Client : Clients)
    Client.join();
  Record.line("requests served: " + std::to_string(Served));
  // The targets' threads end with the process.
  for (auto &Target : Targets)
    (void)Target.release();
  return Code;
}

} // namespace

int main(int Count, char **Words) {
  if (Count != 3)
    return 2;
  const std::string Repository = std::filesystem::absolute(Words[1]);
  record Record(std::string(Words[2]) + "/record.txt");
  char Pattern[] = "/tmp/review-XXXXXX";
  if (::mkdtemp(Pattern) == nullptr)
    return 2;
  const int Code = run(Repository, Pattern, Record);
  Record.line(Code == 0   ? "EVAC held"
              : Code == 1 ? "EVAC broken"
                          : "the case could not run");
  std::filesystem::remove_all(Pattern);
  std::quick_exit(Code);
}
