// Picks the lines that explain a request.

#include "requeststory.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>
#include <utility>

namespace fulmar::ctl {

namespace {

/// Evacuations and departures take effect within some seconds; older orders
/// about a target explain nothing about a request.
constexpr std::int64_t OrderWindowMs = 30'000;
/// Faults of targets last some seconds at least.
constexpr std::int64_t NeighbourWindowMs = 5'000;
/// Callers give up within some tens of seconds; later the same content is
/// another request.
constexpr std::int64_t ResendWindowMs = 30'000;

/// Events that replace what an instance believed before.
constexpr std::array<std::string_view, 7> BeliefEvents = {
    "started",      "control-connected", "control-lost",    "plan-in-force",
    "role-changed", "targets-lost",      "targets-regained"};

bool closesRequest(const log_line &Line) {
  const std::string &Event = Line.field("event");
  return Event == "request-answered" || Event == "request-failed";
}

bool isBelief(const log_line &Line) {
  return std::find(BeliefEvents.begin(), BeliefEvents.end(),
                   Line.field("event")) != BeliefEvents.end();
}

bool mentions(const log_line &Line, const std::string &Target) {
  return std::any_of(Line.Fields.begin(), Line.Fields.end(),
                     [&Target](const auto &Field) {
                       return Field.second.find(Target) != std::string::npos;
                     });
}

/// The last line of each belief of \p End's instance up to its end.
std::vector<log_line> beliefsAt(const log_line &End,
                                const std::vector<log_line> &Lines) {
  // Several links, and the contact to several services, are believed in at
  // once; the plan is one.
  std::map<std::pair<std::string, std::string>, const log_line *> Last;
  for (const log_line &Line : Lines) {
    if (Line.TimeMs > End.TimeMs)
      break;
    if (Line.field("instance") != End.field("instance") || !isBelief(Line))
      continue;
    const std::string &Event = Line.field("event");
    const bool Link = Event.starts_with("control-");
    const bool Contact = Event.starts_with("targets-");
    Last[{Link      ? "control"
          : Contact ? "targets"
                    : Event,
          Contact ? Line.field("service") : Line.field("control")}] = &Line;
  }
  std::vector<log_line> Beliefs;
  Beliefs.reserve(Last.size());
  for (const auto &[Key, Line] : Last)
    Beliefs.push_back(*Line);
  std::stable_sort(Beliefs.begin(), Beliefs.end(),
                   [](const log_line &Left, const log_line &Right) {
                     return Left.TimeMs < Right.TimeMs;
                   });
  return Beliefs;
}

neighbour_count neighboursOf(const std::string &Target, const log_line &End,
                             const std::vector<log_line> &Lines) {
  neighbour_count Count{.Target = Target};
  for (const log_line &Line : Lines) {
    if (!closesRequest(Line) || Line.field("request") == End.field("request") ||
        std::abs(Line.TimeMs - End.TimeMs) > NeighbourWindowMs ||
        Line.field("sends").find(Target) == std::string::npos)
      continue;
    ++(Line.field("event") == "request-failed" ? Count.Failed : Count.Answered);
  }
  return Count;
}

std::set<std::string>
targetsOf(const std::vector<std::vector<told_send>> &Sends) {
  std::set<std::string> Targets;
  for (const auto &OfArrival : Sends) {
    for (const told_send &Send : OfArrival)
      Targets.insert(Send.Target);
  }
  return Targets;
}

/// Lines other than of requests that name one of \p Targets, shortly before
/// \p End.
std::vector<log_line> aboutTargets(const std::set<std::string> &Targets,
                                   const log_line &End,
                                   const std::vector<log_line> &Lines) {
  std::vector<log_line> About;
  for (const log_line &Line : Lines) {
    const std::int64_t Before = End.TimeMs - Line.TimeMs;
    if (Before < -NeighbourWindowMs || Before > OrderWindowMs ||
        closesRequest(Line))
      continue;
    if (std::any_of(
            Targets.begin(), Targets.end(),
            [&Line](const std::string &Id) { return mentions(Line, Id); }))
      About.push_back(Line);
  }
  return About;
}

} // namespace

std::vector<told_send> parseSends(const std::string &Field) {
  constexpr std::size_t Parts = 4;
  std::vector<told_send> Sends;
  const std::vector<std::string> Texts =
      absl::StrSplit(Field, ',', absl::SkipEmpty());
  for (const std::string &Text : Texts) {
    const std::vector<std::string> Words = absl::StrSplit(Text, ':');
    std::int64_t SentMs = 0;
    if (Words.size() < Parts || !absl::SimpleAtoi(Words[1], &SentMs))
      continue;
    Sends.push_back({.Target = Words[0],
                     .SentMs = SentMs,
                     .Load = Words[2],
                     .Outcome = Words[3]});
  }
  return Sends;
}

request_story storyOf(const std::string &Id, std::vector<log_line> Lines) {
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const log_line &Left, const log_line &Right) {
                     return Left.TimeMs < Right.TimeMs;
                   });
  request_story Story;
  for (const log_line &Line : Lines) {
    if (!closesRequest(Line) || Line.field("request") != Id)
      continue;
    Story.Ends.push_back(Line);
    Story.Sends.push_back(parseSends(Line.field("sends")));
    for (log_line &Belief : beliefsAt(Line, Lines))
      Story.Beliefs.push_back(std::move(Belief));
  }
  if (Story.Ends.empty())
    return Story;
  const log_line &Last = Story.Ends.back();
  const std::string &Fingerprint = Last.field("fingerprint");
  for (const log_line &Line : Lines) {
    if (!Fingerprint.empty() && Line.field("fingerprint") == Fingerprint &&
        Line.field("request") != Id &&
        std::abs(Line.TimeMs - Last.TimeMs) <= ResendWindowMs)
      Story.Resends.push_back(Line);
  }
  const auto Targets = targetsOf(Story.Sends);
  Story.AboutTargets = aboutTargets(Targets, Last, Lines);
  for (const std::string &Target : Targets)
    Story.Neighbours.push_back(neighboursOf(Target, Last, Lines));
  return Story;
}

} // namespace fulmar::ctl
