// Subcommands about the system's own instances: status, members and voters.

#include "commandtable.h"
#include "tableprinter.h"

namespace fulmar::ctl {

namespace {

std::string join(const Json::Value &Names) {
  std::string Text;
  for (const Json::Value &Name : Names)
    Text += (Text.empty() ? "" : ",") + Name.asString();
  return Text;
}

table_printer::row statusRow(const std::string &Address,
                             const Json::Value &Status) {
  return {Address,
          Status["id"].asString(),
          Status["role"].asString(),
          Status["term"].asString(),
          Status["leader"].asString(),
          Status["commit"].asString(),
          Status["serial"].asString(),
          join(Status["voters"]),
          Status["proof_age_ms"].asString()};
}

} // namespace

exit_code runStatus(invocation &Call) {
  table_printer Table({"ADDRESS", "ID", "ROLE", "TERM", "LEADER", "COMMIT",
                       "SERIAL", "VOTERS", "PROOF-AGE-MS"});
  Json::Value All(Json::objectValue);
  std::size_t Answered = 0;
  for (const std::string &Address : Call.Control.addresses()) {
    const auto Status = Call.Control.callAt(Address, "control.status",
                                            Json::Value(Json::objectValue));
    if (Status) {
      ++Answered;
      All[Address] = Status.value();
      Table.add(statusRow(Address, Status.value()));
      continue;
    }
    All[Address]["error"] = Status.error().Message;
    Table.add(
        {Address, "-", std::string(base::answerOf(Status.error().Kind).Name)});
  }
  if (Call.Options.Json)
    printJson(Call, All);
  else
    Table.print(Call.Out);
  if (Answered > 0)
    return exit_code::Done;
  Call.Err << "no answer from any control instance\nnext: check their "
              "processes and the addresses in --control\n";
  return exit_code::NoAnswer;
}

exit_code runMembers(invocation &Call) {
  const auto Answer =
      Call.Control.call("control.members", Json::Value(Json::objectValue));
  if (!Answer)
    return fail(Call, Answer.error(), "fulmarctl members");
  if (Call.Options.Json) {
    printJson(Call, Answer.value());
    return exit_code::Done;
  }
  table_printer Table(
      {"ID", "DATA-CENTRE", "ADDRESS", "RPC-ADDRESS", "INCARNATION", "STATE"});
  for (const Json::Value &Member : Answer.value()["members"])
    Table.add({Member["id"].asString(), Member["data_centre"].asString(),
               Member["address"].asString(), Member["rpc_address"].asString(),
               Member["incarnation"].asString(),
               Member["stopping"].asBool() ? "stopping" : "serving"});
  Table.print(Call.Out);
  return exit_code::Done;
}

exit_code runVoters(invocation &Call) {
  const std::string &Action = Call.Arguments[0];
  if (Action != "add" && Action != "remove")
    return misuse(Call, "voters add|remove ID");
  Json::Value Parameters;
  Parameters[Action] = Call.Arguments[1];
  const auto Answer = Call.Control.call("control.set_voters", Parameters);
  if (!Answer)
    return fail(Call, Answer.error(),
                "fulmarctl voters " + Action + " " + Call.Arguments[1]);
  if (Call.Options.Json)
    printJson(Call, Answer.value());
  else
    Call.Out << "voters: " << join(Answer.value()["voters"]) << "\n";
  return exit_code::Done;
}

} // namespace fulmar::ctl
