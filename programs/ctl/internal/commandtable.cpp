// Names, arguments and help of each subcommand.

#include "commandtable.h"

#include <algorithm>
#include <array>

namespace fulmar::ctl {

namespace {

/// Files of one call; a whole fleet's fit.
constexpr std::size_t MaxLogFiles = 10'000;

constexpr std::array Commands = {
    command_entry{"check", "FILE", "check a whole document; lists every fault",
                  1, 1, false, runCheck},
    command_entry{"keys", "[service.*|policy.*|policy.control|...]",
                  "list the keys of sections with defaults and ranges", 0, 1,
                  false, runKeys},
    command_entry{"hash-token", "", "hash the token of --token_file", 0, 0,
                  false, runHashToken},
    command_entry{"edit", "SECTION FILE [--number=N]",
                  "replace a section by a file's content", 2, 2, true, runEdit},
    command_entry{"remove", "SECTION [--number=N]", "remove a section", 1, 1,
                  true, runRemove},
    command_entry{"show", "[SECTION] [--at=REVISION]",
                  "print the document or a section", 0, 1, true, runShow},
    command_entry{"diff", "[SECTION] --from=REVISION [--to=REVISION]",
                  "compare two revisions", 0, 1, true, runDiff},
    command_entry{"history", "[SECTION] [--limit=N]", "list accepted edits", 0,
                  1, true, runHistory},
    command_entry{"data-centre", "leave|return NAME [--operation=ID]",
                  "take a data centre out of service or return it", 2, 2, true,
                  runDataCentre},
    command_entry{"status", "", "state of each control instance", 0, 0, true,
                  runStatus},
    command_entry{"members", "", "list the live instances", 0, 0, true,
                  runMembers},
    command_entry{"voters", "add|remove ID", "change the voters, one at a time",
                  2, 2, true, runVoters},
    command_entry{"explain", "REQUEST-ID LOG-FILE...",
                  "tell from log files how a request ended and why", 2,
                  MaxLogFiles + 1, false, runExplain},
};

const command_entry *findCommand(const std::string &Name) {
  const auto *Found = std::find_if(
      Commands.begin(), Commands.end(),
      [&](const command_entry &Entry) { return Entry.Name == Name; });
  return Found == Commands.end() ? nullptr : Found;
}

std::string lineOf(const command_entry &Entry) {
  return "  fulmarctl " + std::string(Entry.Name) +
         (Entry.Usage.empty() ? "" : " ") + std::string(Entry.Usage) +
         "\n      " + std::string(Entry.Help) + "\n";
}

} // namespace

std::span<const command_entry> commandTable() { return Commands; }

std::string usageText() {
  std::string Text = "drives the control instances of fulmarsaddle\n\n";
  for (const command_entry &Entry : Commands)
    Text += lineOf(Entry);
  Text += "\nExit codes: 0 done, 1 refused, 2 usage, 3 no answer (the outcome "
          "is unknown;\nresend the same command with --number or --operation "
          "as printed).\n";
  return Text;
}

exit_code runCommand(invocation &Call) {
  if (Call.Arguments.empty())
    return misuse(Call, usageText());
  const std::string Name = Call.Arguments.front();
  const command_entry *Entry = findCommand(Name);
  if (Entry == nullptr)
    return misuse(Call, "no subcommand " + Name + "\n" + usageText());
  Call.Arguments.erase(Call.Arguments.begin());
  if (Call.Arguments.size() < Entry->MinArguments ||
      Call.Arguments.size() > Entry->MaxArguments)
    return misuse(Call, "wrong number of arguments\n" + lineOf(*Entry));
  if (Entry->NeedsControl && Call.Control.addresses().empty())
    return misuse(Call, "name the control instances: "
                        "--control=IP:PORT,IP:PORT");
  return Entry->Run(Call);
}

} // namespace fulmar::ctl
