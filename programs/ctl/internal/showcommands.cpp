// Subcommands that read the document: show, diff and history.

#include "commandtable.h"
#include "linediff.h"
#include "tableprinter.h"

namespace fulmar::ctl {

namespace {

base::result<Json::Value> show(invocation &Call,
                               std::optional<std::uint64_t> Revision) {
  Json::Value Parameters(Json::objectValue);
  if (!Call.Arguments.empty())
    Parameters["section"] = Call.Arguments.front();
  if (Revision)
    Parameters["revision"] = Json::UInt64(*Revision);
  return Call.Control.call("document.show", Parameters);
}

/// As show(), but a section that is absent at that revision has no lines.
base::result<std::string> contentAt(invocation &Call,
                                    std::optional<std::uint64_t> Revision) {
  const auto Shown = show(Call, Revision);
  if (Shown)
    return Shown.value()["content"].asString();
  if (Shown.error().Kind == base::error_kind::NotFound &&
      !Call.Arguments.empty())
    return std::string();
  return Shown.error();
}

char markOf(diff_line::kind Kind) {
  if (Kind == diff_line::kind::Same)
    return ' ';
  return Kind == diff_line::kind::Added ? '+' : '-';
}

Json::Value toJson(const std::vector<diff_line> &Lines) {
  Json::Value Value;
  Value["lines"] = Json::Value(Json::arrayValue);
  for (const diff_line &Line : Lines) {
    if (Line.Kind != diff_line::kind::Same)
      Value["lines"].append(markOf(Line.Kind) + Line.Text);
  }
  return Value;
}

} // namespace

exit_code runShow(invocation &Call) {
  const auto Shown = show(Call, Call.Options.At);
  if (!Shown)
    return fail(Call, Shown.error(), "fulmarctl show");
  if (Call.Options.Json)
    printJson(Call, Shown.value());
  else
    Call.Out << Shown.value()["content"].asString();
  return exit_code::Done;
}

exit_code runDiff(invocation &Call) {
  if (!Call.Options.From)
    return misuse(Call, "name the older revision: --from=REVISION");
  const auto From = contentAt(Call, Call.Options.From);
  if (!From)
    return fail(Call, From.error(), "fulmarctl diff");
  const auto To = contentAt(Call, Call.Options.To);
  if (!To)
    return fail(Call, To.error(), "fulmarctl diff");
  const std::vector<diff_line> Lines = diffLines(From.value(), To.value());
  if (Call.Options.Json) {
    printJson(Call, toJson(Lines));
    return exit_code::Done;
  }
  for (const diff_line &Line : Lines)
    Call.Out << markOf(Line.Kind) << Line.Text << "\n";
  return exit_code::Done;
}

exit_code runHistory(invocation &Call) {
  Json::Value Parameters;
  Parameters["limit"] = Json::UInt64(Call.Options.Limit);
  if (!Call.Arguments.empty())
    Parameters["section"] = Call.Arguments.front();
  const auto History = Call.Control.call("document.history", Parameters);
  if (!History)
    return fail(Call, History.error(), "fulmarctl history");
  if (Call.Options.Json) {
    printJson(Call, History.value());
    return exit_code::Done;
  }
  table_printer Table({"REVISION", "SECTION", "NUMBER", "AUTHOR"});
  for (const Json::Value &Edit : History.value()["edits"])
    Table.add({Edit["revision"].asString(), Edit["section"].asString(),
               Edit["number"].asString(), Edit["author"].asString()});
  Table.print(Call.Out);
  return exit_code::Done;
}

} // namespace fulmar::ctl
