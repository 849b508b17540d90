// Serves the methods that fulmarctl calls.

#include "fakecontrol.h"

#include <thread>

namespace fulmar::ctl {

namespace {

constexpr std::size_t ServerCount = 2;

template <typename Reply>
base::result<Json::Value> answer(const controlstate::reply &Given) {
  if (const auto *Failed = std::get_if<controlstate::error_reply>(&Given))
    return Failed->Error;
  return controlstate::toJson(std::get<Reply>(Given));
}

} // namespace

fake_control::fake_control(const std::string &Hash) : AdministratorHash(Hash) {
  for (std::size_t Server = 0; Server < ServerCount; ++Server) {
    Servers.push_back(std::make_unique<wire::rpc_server>());
    serve(Server, "document.edit", [this](const auto &P) { return edit(P); });
    serve(Server, "data_centre.set",
          [this](const auto &P) { return setDataCentre(P); });
    serve(Server, "document.show", [this](const auto &P) { return show(P); });
    serve(Server, "document.history",
          [this](const auto &P) { return history(P); });
    serve(Server, "control.force", [this](const auto &) { return force(); });
    (void)Servers.back()->start({.Listen = "127.0.0.1:0", .MaxThreads = 4});
  }
}

fake_control::~fake_control() {
  // Each server takes its time to stop.
  std::vector<std::jthread> Stoppers;
  for (const auto &Server : Servers)
    Stoppers.emplace_back([&Server] { Server->stop(); });
}

std::vector<std::string> fake_control::addresses() const {
  std::vector<std::string> Addresses;
  for (const auto &Server : Servers)
    Addresses.push_back("127.0.0.1:" + std::to_string(Server->port()));
  return Addresses;
}

void fake_control::serve(std::size_t Server, const std::string &Name,
                         method Method) {
  Servers.back()->handleMethod(
      Name,
      [this, Server, Name, Method = std::move(Method)](
          const Json::Value &Parameters) -> base::result<Json::Value> {
        const std::lock_guard Lock(Mutex);
        if (Server != Leader)
          return base::fail(base::error_kind::NotLeader, addresses()[Leader]);
        Methods.push_back(Name);
        base::result<Json::Value> Answer = Method(Parameters);
        if (LostAnswers == 0)
          return Answer;
        --LostAnswers;
        return base::fail(base::error_kind::NoQuorum, "the answer was lost");
      });
}

controlstate::reply fake_control::run(controlstate::command_body Body) {
  return State.applyCommand(++Index, {.WallMs = 1, .Body = std::move(Body)});
}

base::result<Json::Value> fake_control::edit(const Json::Value &Parameters) {
  const std::string Section = Parameters["section"].asString();
  const std::string Content = Parameters["content"].asString();
  return answer<controlstate::edit_reply>(run(controlstate::edit_command{
      .Author = Parameters["author"].asString(),
      .Section = Section,
      .Number = Parameters["number"].asUInt64(),
      .Content = Content,
      .Proof = controlstate::makeTokenProof(
          Parameters["token"].asString(), Section,
          State.requiredHash(Section, Content, AdministratorHash))}));
}

base::result<Json::Value>
fake_control::setDataCentre(const Json::Value &Parameters) {
  BOOST_OUTCOME_TRY(Action, controlstate::parseDataCentreAction(
                                Parameters["action"].asString()));
  const std::string Name = Parameters["name"].asString();
  return answer<controlstate::data_centre_reply>(
      run(controlstate::data_centre_command{
          .OperationId = Parameters["operation"].asString(),
          .Name = Name,
          .Action = Action,
          .Author = Parameters["author"].asString(),
          .Proof = controlstate::makeTokenProof(
              Parameters["token"].asString(), "data-centre." + Name,
              State.requiredHashOfDataCentre(Name))}));
}

base::result<Json::Value> fake_control::show(const Json::Value &Parameters) {
  const std::uint64_t Revision = Parameters.isMember("revision")
                                     ? Parameters["revision"].asUInt64()
                                     : State.edits().revision();
  const auto Shown =
      Parameters.isMember("section")
          ? State.edits().sectionAt(Parameters["section"].asString(), Revision)
          : State.edits().documentAt(Revision);
  if (!Shown)
    return Shown.error();
  Json::Value Answer;
  Answer["revision"] = Json::UInt64(Revision);
  Answer["content"] = Shown.value();
  return Answer;
}

base::result<Json::Value> fake_control::history(const Json::Value &Parameters) {
  Json::Value Answer;
  Answer["edits"] = Json::Value(Json::arrayValue);
  for (const auto &Record :
       State.edits().history(Parameters.get("section", "").asString(),
                             Parameters["limit"].asUInt64()))
    Answer["edits"].append(controlstate::toJson(Record));
  return Answer;
}

base::result<Json::Value> fake_control::force() {
  Json::Value Answer;
  Answer["confirmed"] = WaitingRounds > 0 ? 21 : 22;
  Answer["expired"] = 1;
  Answer["waiting"] = Json::Value(Json::arrayValue);
  if (WaitingRounds > 0) {
    Answer["waiting"].append("e7");
    --WaitingRounds;
  }
  return Answer;
}

} // namespace fulmar::ctl
