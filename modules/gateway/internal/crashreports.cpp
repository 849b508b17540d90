// Repeats reports until they are confirmed.

#include "fulmar/gateway/crashreports.h"

#include "fulmar/base/rendezvous.h"

#include <algorithm>
#include <utility>

namespace fulmar::gateway {

namespace {

/// Longer than a commit takes while there is a leader, and short enough for
/// several attempts within the time in which the whole fleet must learn of a
/// crash.
constexpr base::duration RepeatInterval = std::chrono::milliseconds(400);
/// Longer than network partitions and elections usually last.
constexpr base::duration ReportLifetime = std::chrono::minutes(1);
/// The maximum number of suspects that an entry tracks.
constexpr std::size_t MaxPending = 256;

} // namespace

void crash_reports::add(controlstate::crash_command Crash, base::instant Now) {
  append(std::move(Crash), Now);
}

void crash_reports::addAnsweredRequest(std::string Fingerprint,
                                       base::instant AnsweredAt,
                                       base::instant Now) {
  append(answered_request{.Fingerprint = std::move(Fingerprint),
                          .AnsweredAt = AnsweredAt},
         Now);
}

void crash_reports::append(
    std::variant<controlstate::crash_command, answered_request> Content,
    base::instant Now) {
  if (Pending.size() >= MaxPending)
    Pending.pop_front();
  Pending.push_back({.Id = ++LastId,
                     .Content = std::move(Content),
                     .CreatedAt = Now,
                     .DueAt = Now});
}

fleetlink::link_message crash_reports::messageFor(const pending_report &Report,
                                                  base::instant Now) {
  if (const auto *Crash =
          std::get_if<controlstate::crash_command>(&Report.Content))
    return fleetlink::crash_notification{Report.Id, *Crash};
  const answered_request &Answered = std::get<answered_request>(Report.Content);
  const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now - Answered.AnsweredAt);
  return fleetlink::answer_notification{
      Report.Id, {.Fingerprint = Answered.Fingerprint, .AgeMs = Age.count()}};
}

void crash_reports::confirm(std::uint64_t Id) {
  std::erase_if(Pending,
                [Id](const pending_report &Report) { return Report.Id == Id; });
}

std::vector<due_report>
crash_reports::takeDue(const std::vector<std::string> &Instances,
                       base::instant Now) {
  while (!Pending.empty() && Now - Pending.front().CreatedAt >= ReportLifetime)
    Pending.pop_front();
  std::vector<due_report> Due;
  if (Instances.empty())
    return Due;
  for (pending_report &Report : Pending) {
    if (Now < Report.DueAt)
      continue;
    // Rendezvous hashing spreads the reports over the instances; each attempt
    // of a report goes to another instance.
    const std::string Key = std::to_string(Report.Id);
    std::vector<std::string> Order = Instances;
    std::sort(Order.begin(), Order.end(),
              [&](const auto &Left, const auto &Right) {
                return base::rendezvousWeight(Key, Left) >
                       base::rendezvousWeight(Key, Right);
              });
    Due.push_back({.Id = Report.Id,
                   .Address = Order[Report.Attempts++ % Order.size()],
                   .Message = messageFor(Report, Now)});
    Report.DueAt = Now + RepeatInterval;
  }
  return Due;
}

} // namespace fulmar::gateway
