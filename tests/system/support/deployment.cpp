// Settings files, ports and calls of a deployment under test.

#include "support/deployment.h"

#include "fulmar/document/token.h"
#include "fulmar/wire/rpcclient.h"

#include <Poco/File.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/TemporaryFile.h>
#include <json/reader.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <stdexcept>
#include <thread>

namespace fulmar::system_tests {

namespace {

const std::string Programs = FULMAR_PROGRAMS;
const std::string AdministratorToken = "test-administrator";
const std::string OperationsToken = "test-operations";
constexpr auto CallTimeout = std::chrono::seconds(6);

std::string freeAddress() {
  // Ports given out before stay reserved by being remembered.
  static std::set<int> Given;
  while (true) {
    const Poco::Net::ServerSocket Socket{
        Poco::Net::SocketAddress("127.0.0.1:0")};
    const int Port = Socket.address().port();
    if (Given.insert(Port).second)
      return "127.0.0.1:" + std::to_string(Port);
  }
}

std::string administratorHash() {
  static const std::string Hash = document::hashToken(
      AdministratorToken, "00112233445566778899aabbccddeeff",
      document::MinTokenIterations);
  return Hash;
}

std::string name(const char *Kind, int Number) {
  return std::string(Kind) + "-" + std::to_string(Number);
}

} // namespace

deployment::deployment(const deployment_options &Wanted)
    : Options(Wanted), Folder(Poco::TemporaryFile::tempName()) {
  Poco::File(Folder).createDirectories();
  for (int Number = 1; Number <= Options.Controls; ++Number)
    Controls[Number].Listen = freeAddress();
  if (Options.CuttableControls) {
    for (const auto &[From, Source] : Controls) {
      for (const auto &[To, Destination] : Controls) {
        if (From != To)
          Links[{From, To}] =
              std::make_unique<cuttable_link>(Destination.Listen);
      }
    }
  }
  for (int Number = 1; Number <= Options.Controls; ++Number) {
    writeControlSettings(Number);
    startControl(Number);
  }
  int Number = 0;
  for (const std::string &DataCentre : Options.Entries) {
    instance &Entry = Entries[++Number];
    Entry.Listen = freeAddress();
    Entry.RpcListen = freeAddress();
    writeEntrySettings(Number, DataCentre);
    startEntry(Number);
  }
}

deployment::~deployment() {
  Targets.clear();
  Entries.clear();
  Controls.clear();
  Links.clear();
  Poco::File(Folder).remove(true);
}

std::string deployment::logFile(const std::string &Name) const {
  return Folder + "/" + Name + ".log";
}

std::string deployment::peerAddress(int From, int To) const {
  const auto Link = Links.find({From, To});
  return Link == Links.end() ? Controls.at(To).Listen : Link->second->address();
}

void deployment::writeControlSettings(int Number) {
  instance &Control = Controls.at(Number);
  Control.Settings = Folder + "/" + name("control", Number) + ".ini";
  std::ofstream File(Control.Settings);
  File << "[instance]\nid = " << name("control", Number)
       << "\nlisten = " << Control.Listen
       << "\ndata_folder = " << controlFolder(Number)
       << "\n[cluster]\nbootstrap = 1\n[peers]\n";
  for (const auto &[Other, Instance] : Controls)
    File << name("control", Other) << " = " << peerAddress(Number, Other)
         << "\n";
  File << "[administrator]\ntoken_hash = " << administratorHash() << "\n";
}

void deployment::writeEntrySettings(int Number, const std::string &DataCentre) {
  instance &Entry = Entries.at(Number);
  Entry.Settings = Folder + "/" + name("entry", Number) + ".ini";
  std::ofstream File(Entry.Settings);
  File << "[instance]\nid = " << name("entry", Number)
       << "\ndata_centre = " << DataCentre
       << "\nregion = trinidad\nlisten = " << Entry.Listen
       << "\nrpc_listen = " << Entry.RpcListen << "\n[control]\naddresses = ";
  std::string Addresses;
  for (const auto &[Other, Instance] : Controls) {
    if (Options.EntriesKnow == 0 || Options.EntriesKnow == Other)
      Addresses += (Addresses.empty() ? "" : ", ") + Instance.Listen;
  }
  File << Addresses << "\n";
}

void deployment::startControl(int Number) {
  instance &Control = Controls.at(Number);
  Control.Process = std::make_unique<child_process>(
      Programs + "/fulmar-control",
      std::vector<std::string>{"--config=" + Control.Settings},
      logFile(name("control", Number)));
}

void deployment::startEntry(int Number) {
  instance &Entry = Entries.at(Number);
  Entry.Process = std::make_unique<child_process>(
      Programs + "/fulmar-entry",
      std::vector<std::string>{"--config=" + Entry.Settings},
      logFile(name("entry", Number)));
}

void deployment::startTarget(const target_options &Target) {
  instance &Started = Targets[Target.Id];
  if (Started.Listen.empty())
    Started.Listen = freeAddress();
  std::string Announce;
  for (const auto &[Number, Entry] : Entries)
    Announce += (Announce.empty() ? "" : ",") + Entry.Listen;
  std::vector<std::string> Arguments = {
      "--id=" + Target.Id, "--service=" + Target.Service,
      "--data_centre=" + Target.DataCentre, "--listen=" + Started.Listen,
      "--entries=" + Announce};
  Arguments.insert(Arguments.end(), Target.Extra.begin(), Target.Extra.end());
  Started.Process.reset();
  Started.Process = std::make_unique<child_process>(
      Programs + "/fulmar-target", Arguments, logFile(Target.Id));
}

std::string deployment::controlAddress(int Number) const {
  return Controls.at(Number).Listen;
}
std::string deployment::entryAddress(int Number) const {
  return Entries.at(Number).Listen;
}
std::string deployment::entryRpcAddress(int Number) const {
  return Entries.at(Number).RpcListen;
}
std::string deployment::targetAddress(const std::string &Id) const {
  return Targets.at(Id).Listen;
}
std::string deployment::controlFolder(int Number) const {
  return Folder + "/data/" + name("control", Number);
}

void deployment::isolateControl(int Number) {
  for (const auto &[Ends, Link] : Links) {
    if (Ends.first == Number || Ends.second == Number)
      Link->cut();
  }
}

void deployment::rejoinControl(int Number) {
  for (const auto &[Ends, Link] : Links) {
    if (Ends.first == Number || Ends.second == Number)
      Link->mend();
  }
}

int deployment::leader() {
  for (const auto &[Number, Control] : Controls) {
    const auto Status = callControl(Number, "control.status");
    if (Status.has_value() && Status.value()["role"] == "leader" &&
        Status.value()["formed"].asBool())
      return Number;
  }
  return -1;
}

base::result<Json::Value>
deployment::callControl(int Number, const std::string &Method,
                        const Json::Value &Parameters) {
  wire::rpc_client Client(controlAddress(Number));
  return Client.call(Method, Parameters, CallTimeout);
}

base::result<Json::Value>
deployment::callLeader(const std::string &Method,
                       const Json::Value &Parameters) {
  base::result<Json::Value> Answer =
      base::error{base::error_kind::NoQuorum, "not asked"};
  eventually(
      [&] {
        for (auto &[Number, Control] : Controls) {
          if (!Control.Process->running())
            continue;
          Answer = callControl(Number, Method, Parameters);
          if (Answer.has_value() ||
              (Answer.error().Kind != base::error_kind::NotLeader &&
               Answer.error().Kind != base::error_kind::NoQuorum &&
               Answer.error().Kind != base::error_kind::Timeout &&
               Answer.error().Kind != base::error_kind::Unreachable))
            return true;
        }
        return false;
      },
      std::chrono::seconds(15));
  return Answer;
}

base::result<Json::Value> deployment::callEntry(int Number,
                                                const std::string &Method,
                                                const Json::Value &Parameters) {
  wire::rpc_client Client(entryRpcAddress(Number));
  return Client.call(Method, Parameters, CallTimeout);
}

Json::Value deployment::edit(const std::string &Section,
                             const std::string &Content, std::uint64_t Number,
                             const std::string &Author) {
  Json::Value Parameters;
  if (Number == 0) {
    Parameters["section"] = Section;
    const auto Shown = callLeader("document.history", Parameters);
    Number = Shown.has_value() && !Shown.value()["edits"].empty()
                 ? Shown.value()["edits"][0]["number"].asUInt64() + 1
                 : 1;
  }
  const auto Answer = callLeader(
      "document.edit", editParameters(Section, Content, Number, Author));
  return Answer.has_value() ? Answer.value() : Json::Value();
}

Json::Value deployment::editParameters(const std::string &Section,
                                       const std::string &Content,
                                       std::uint64_t Number,
                                       const std::string &Author) {
  Json::Value Parameters;
  Parameters["section"] = Section;
  Parameters["author"] = Author;
  Parameters["number"] = Json::UInt64(Number);
  Parameters["content"] = Content;
  Parameters["token"] =
      Section.starts_with("owner.") ? AdministratorToken : OperationsToken;
  return Parameters;
}

Json::Value deployment::editAvoiding(int Avoided, const std::string &Section,
                                     const std::string &Content,
                                     std::uint64_t Number) {
  const Json::Value Parameters = editParameters(Section, Content, Number);
  Json::Value Answer;
  eventually([&] {
    for (const auto &[Control, Instance] : Controls) {
      if (Control == Avoided)
        continue;
      const auto Given = callControl(Control, "document.edit", Parameters);
      if (!Given.has_value())
        continue;
      Answer = Given.value();
      return true;
    }
    return false;
  });
  return Answer;
}

void deployment::loseDisk(int Number) {
  Poco::File(controlFolder(Number)).remove(true);
}

bool deployment::flipByteInJournal(int Number) {
  std::vector<Poco::File> Files;
  Poco::File(controlFolder(Number)).list(Files);
  const auto Largest = std::max_element(
      Files.begin(), Files.end(), [](const auto &Left, const auto &Right) {
        return Left.getSize() < Right.getSize();
      });
  if (Largest == Files.end() || Largest->getSize() < 2)
    return false;
  std::fstream Stream(Largest->path(),
                      std::ios::in | std::ios::out | std::ios::binary);
  const auto Middle = static_cast<std::streamoff>(Largest->getSize() / 2);
  Stream.seekg(Middle);
  const int Byte = Stream.get();
  Stream.seekp(Middle);
  Stream.put(static_cast<char>(~Byte));
  return Stream.good();
}

std::size_t deployment::votersListed() {
  const int Leader = leader();
  if (Leader < 0)
    return 0;
  const auto Status = callControl(Leader, "control.status");
  return Status.has_value() ? Status.value()["voters"].size() : 0;
}

std::string deployment::logOf(const std::string &Kind, int Number) const {
  std::ifstream File(logFile(name(Kind.c_str(), Number)));
  return {std::istreambuf_iterator<char>(File), {}};
}

Json::Value deployment::setDataCentre(const std::string &Name,
                                      const std::string &Action,
                                      const std::string &Operation) {
  Json::Value Parameters;
  Parameters["name"] = Name;
  Parameters["action"] = Action;
  Parameters["operation"] = Operation;
  Parameters["author"] = "test";
  Parameters["token"] = OperationsToken;
  const auto Answer = callLeader("data_centre.set", Parameters);
  return Answer.has_value() ? Answer.value() : Json::Value();
}

void deployment::editBaseDocument(const std::string &ServiceKeys) {
  const std::string Hash =
      document::hashToken(OperationsToken, "ffeeddccbbaa99887766554433221100",
                          document::MinTokenIterations);
  const auto Put = [this](const std::string &Section,
                          const std::string &Content) {
    const Json::Value Answer = edit(Section, Content);
    if (Answer["outcome"] != "accepted")
      throw std::runtime_error(Section + ": " + Answer.toStyledString());
  };
  Put("owner.operations", "token_hash = " + Hash + "\n");
  for (const char *DataCentre : {"pos", "arima"})
    Put(std::string("data-centre.") + DataCentre,
        "owner = operations\nregion = trinidad\n");
  std::string Service = "owner = operations\ndata_centres = pos, arima\n";
  if (ServiceKeys.find("cold_ramp_ms") == std::string::npos)
    Service += "cold_ramp_ms = 500\n";
  Put("service.registry", Service + ServiceKeys);
}

Json::Value deployment::counts(const std::string &Target) {
  const auto Answer =
      callHttp(targetAddress(Target), {.Path = "/.control/counts"});
  Json::Value Json;
  if (Answer)
    Json::Reader().parse(Answer->Body, Json);
  return Json;
}

bool deployment::setBehaviour(const std::string &Target,
                              const std::string &Query) {
  const auto Answer = callHttp(
      targetAddress(Target), {.Method = "POST", .Path = "/.control/" + Query});
  return Answer && Answer->Status < 300;
}

bool deployment::eventually(const std::function<bool()> &Condition,
                            std::chrono::milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

bool deployment::serves(int Number, const std::string &Service) {
  return eventually([&] {
    const auto Answer =
        callHttp(entryAddress(Number), {.Path = "/" + Service + "/ready"});
    return Answer && Answer->Status == 200;
  });
}

} // namespace fulmar::system_tests
