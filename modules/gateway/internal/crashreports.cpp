// Repeats reports until they are confirmed.

#include "fulmar/gateway/crashreports.h"

#include "fulmar/base/rendezvous.h"

#include <algorithm>
#include <utility>

namespace fulmar::gateway {

namespace {

/// A commit takes less where there is a leader; several tries fit into the time
/// in which the whole fleet is to know.
constexpr base::duration RepeatInterval = std::chrono::milliseconds(400);
/// Longer than cuts and elections last as a rule.
constexpr base::duration Lifetime = std::chrono::minutes(1);
/// As many as an entry has suspects at most.
constexpr std::size_t MaxPending = 256;

} // namespace

void crash_reports::add(controlstate::crash_command Crash, base::instant Now) {
  if (Pending.size() >= MaxPending)
    Pending.pop_front();
  Pending.push_back(
      {.Id = ++LastId, .Crash = std::move(Crash), .Since = Now, .DueAt = Now});
}

void crash_reports::confirm(std::uint64_t Id) {
  std::erase_if(Pending,
                [Id](const pending_report &Report) { return Report.Id == Id; });
}

std::vector<due_report>
crash_reports::takeDue(const std::vector<std::string> &Instances,
                       base::instant Now) {
  while (!Pending.empty() && Now - Pending.front().Since >= Lifetime)
    Pending.pop_front();
  std::vector<due_report> Due;
  if (Instances.empty())
    return Due;
  for (pending_report &Report : Pending) {
    if (Now < Report.DueAt)
      continue;
    // Reports spread over the instances, and each try meets another one.
    std::vector<std::string> Order = Instances;
    std::sort(Order.begin(), Order.end(),
              [&](const auto &Left, const auto &Right) {
                return base::rendezvousWeight(Report.Crash.Target, Left) >
                       base::rendezvousWeight(Report.Crash.Target, Right);
              });
    Due.push_back({.Id = Report.Id,
                   .To = Order[Report.Tries++ % Order.size()],
                   .Crash = Report.Crash});
    Report.DueAt = Now + RepeatInterval;
  }
  return Due;
}

} // namespace fulmar::gateway
