// The subcommand that tells a request's story from log files.

#include "commandtable.h"
#include "requeststory.h"

#include <algorithm>
#include <fstream>

namespace fulmar::ctl {

namespace {

/// Lines of one part of the story; more hide the rest.
constexpr std::size_t MaxLines = 20;

/// Seconds of \p Line before (negative) or after \p End.
std::string offsetText(const log_line &Line, const log_line &End) {
  constexpr std::int64_t MillisecondsPerSecond = 1000;
  const std::int64_t Offset = Line.TimeMs - End.TimeMs;
  const std::int64_t Size = Offset < 0 ? -Offset : Offset;
  std::string Fraction = std::to_string(Size % MillisecondsPerSecond);
  Fraction.insert(0, 3 - Fraction.size(), '0');
  return std::string(Offset < 0 ? "-" : "+") +
         std::to_string(Size / MillisecondsPerSecond) + "." + Fraction + " s";
}

/// The fields that a reader has not seen elsewhere in the story.
std::string fieldsText(const log_line &Line) {
  std::string Text = Line.field("instance") + " " + Line.field("event");
  for (const auto &[Key, Value] : Line.Fields) {
    const bool Told = Key == "time" || Key == "level" || Key == "component" ||
                      Key == "instance" || Key == "event";
    if (!Told)
      Text += " " + Key + "=" + (Value.empty() ? "-" : Value);
  }
  return Text;
}

void printEnd(std::ostream &Out, const log_line &End,
              const std::vector<told_send> &Sends) {
  const bool Failed = End.field("event") == "request-failed";
  Out << End.field("time") << " at " << End.field("instance") << ": "
      << (Failed ? "failed" : "answered") << " with status "
      << End.field("status");
  if (Failed)
    Out << ", " << End.field("cause");
  Out << "\n  route " << End.field("route") << " of plan " << End.field("plan")
      << ", service " << End.field("service") << "\n  " << End.field("age_ms")
      << " ms old when it arrived, usual time " << End.field("usual_ms")
      << " ms, had " << End.field("had_ms") << " ms, took "
      << End.field("took_ms") << " ms\n";
  if (!End.field("from").empty())
    Out << "  passed on by " << End.field("from") << "\n";
  if (Sends.empty())
    Out << "  not sent to any target\n";
  for (const told_send &Send : Sends) {
    Out << "  after " << Send.SentMs << " ms ";
    if (Send.Load == "relay")
      Out << "passed on to " << Send.Target;
    else
      Out << "sent to " << Send.Target << " (load " << Send.Load << ")";
    Out << ": " << Send.Outcome << "\n";
  }
}

void printLines(std::ostream &Out, const std::string &Title,
                const std::vector<log_line> &Lines, const log_line &End) {
  if (Lines.empty())
    return;
  Out << Title << "\n";
  const std::size_t Shown = std::min(MaxLines, Lines.size());
  for (std::size_t Index = 0; Index < Shown; ++Index)
    Out << "  " << offsetText(Lines[Index], End) << "  "
        << fieldsText(Lines[Index]) << "\n";
  if (Shown < Lines.size())
    Out << "  and " << Lines.size() - Shown << " more\n";
}

void print(std::ostream &Out, const request_story &Story) {
  const log_line &Last = Story.Ends.back();
  for (std::size_t Index = 0; Index < Story.Ends.size(); ++Index)
    printEnd(Out, Story.Ends[Index], Story.Sends[Index]);
  printLines(Out, "known there at that time:", Story.Beliefs, Last);
  printLines(Out, "the same content under other ids:", Story.Resends, Last);
  printLines(Out, "about its targets:", Story.AboutTargets, Last);
  for (const neighbour_count &Count : Story.Neighbours)
    Out << "others at " << Count.Target << " within 5 s: " << Count.Answered
        << " answered, " << Count.Failed << " failed\n";
}

} // namespace

exit_code runExplain(invocation &Call) {
  const std::string Id = Call.Arguments.front();
  std::vector<log_line> Lines;
  for (std::size_t Index = 1; Index < Call.Arguments.size(); ++Index) {
    const std::string &File = Call.Arguments[Index];
    std::ifstream Stream(File, std::ios::binary);
    if (!Stream)
      return refuse(Call, File + " can't be read", "name files that exist");
    for (std::string Text; std::getline(Stream, Text);) {
      if (auto Line = parseLogLine(Text))
        Lines.push_back(std::move(*Line));
    }
  }
  const std::size_t Read = Lines.size();
  const request_story Story = storyOf(Id, std::move(Lines));
  if (Story.Ends.empty())
    return refuse(
        Call, "no line of " + std::to_string(Read) + " closes request " + Id,
        "add the output of all entries; where none has it, the "
        "request reached none, or left_out_before counts it");
  print(Call.Out, Story);
  return exit_code::Done;
}

} // namespace fulmar::ctl
