// Subcommands that change the document: edit and remove.

#include "commandtable.h"

namespace fulmar::ctl {

namespace {

struct section_edit {
  std::string Section;
  std::uint64_t Number = 0;
  /// Empty to remove the section.
  std::string Content;
  /// The command that repeats this edit.
  std::string Resend;
};

base::result<std::uint64_t> nextNumber(invocation &Call,
                                       const std::string &Section) {
  Json::Value Parameters;
  Parameters["section"] = Section;
  Parameters["limit"] = 1;
  BOOST_OUTCOME_TRY(History, Call.Control.call("document.history", Parameters));
  const Json::Value &Edits = History["edits"];
  return Edits.empty() ? 1 : Edits[0]["number"].asUInt64() + 1;
}

exit_code printOutcome(invocation &Call, const section_edit &Edit,
                       const Json::Value &Result) {
  if (Call.Options.Json)
    printJson(Call, Result);
  const std::string Outcome = Result["outcome"].asString();
  const std::string What =
      Edit.Section + " number " + std::to_string(Edit.Number);
  if (Outcome == "accepted") {
    if (!Call.Options.Json)
      Call.Out << "accepted: " << What << " is revision "
               << Result["revision"].asString()
               << (Result["repeated"].asBool()
                       ? " (it had been accepted before)\n"
                       : "\n");
    return exit_code::Done;
  }
  const std::string Message = Result["message"].asString();
  if (Outcome != "conflict")
    return refuse(Call, Message, "mend the faults and edit again");
  const Json::Value &InForce = Result["in_force"];
  Call.Err << "in force: " << Edit.Section << " number "
           << InForce["number"].asString() << " by "
           << InForce["author"].asString() << "\n"
           << InForce["content"].asString() << "\n";
  return refuse(Call, "conflict: " + Message,
                "merge your change with what is in force and edit with "
                "--number=" +
                    std::to_string(InForce["number"].asUInt64() + 1));
}

exit_code send(invocation &Call, const section_edit &Edit) {
  const auto Token = readToken(Call.Options);
  if (!Token)
    return misuse(Call, Token.error().Message);
  Json::Value Parameters;
  Parameters["author"] = Call.Options.Author;
  Parameters["section"] = Edit.Section;
  Parameters["number"] = Json::UInt64(Edit.Number);
  Parameters["content"] = Edit.Content;
  Parameters["token"] = Token.value();
  const auto Result = Call.Control.call("document.edit", Parameters);
  if (!Result)
    return fail(Call, Result.error(), Edit.Resend);
  return printOutcome(Call, Edit, Result.value());
}

exit_code editSection(invocation &Call, const std::string &Arguments,
                      section_edit Edit) {
  if (Call.Options.Author.empty())
    return misuse(Call, "name yourself: --author=NAME");
  if (Call.Options.Number) {
    Edit.Number = *Call.Options.Number;
  } else {
    const auto Next = nextNumber(Call, Edit.Section);
    if (!Next) {
      Call.Err << "nothing was sent\n";
      return fail(Call, Next.error(), "fulmarctl " + Arguments);
    }
    Edit.Number = Next.value();
    Call.Err << "sending " << Edit.Section << " as number " << Edit.Number
             << "\n";
  }
  Edit.Resend = "fulmarctl " + Arguments + " --author=" + Call.Options.Author +
                " --number=" + std::to_string(Edit.Number);
  return send(Call, Edit);
}

} // namespace

exit_code runEdit(invocation &Call) {
  const std::string &Section = Call.Arguments[0];
  const std::string &File = Call.Arguments[1];
  const auto Content = readFile(File);
  if (!Content)
    return refuse(Call, Content.error().Message, "name a file that exists");
  if (Content.value().empty())
    return refuse(Call, File + " is empty",
                  "use `fulmarctl remove " + Section +
                      "` if the section is to go");
  return editSection(Call, "edit " + Section + " " + File,
                     {.Section = Section, .Content = Content.value()});
}

exit_code runRemove(invocation &Call) {
  const std::string &Section = Call.Arguments[0];
  return editSection(Call, "remove " + Section, {.Section = Section});
}

} // namespace fulmar::ctl
