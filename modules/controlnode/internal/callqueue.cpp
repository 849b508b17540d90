// Stores pending calls and the time of the next attempt of each.

#include "fulmar/controlnode/callqueue.h"

#include <random>
#include <utility>

namespace fulmar::controlnode {

namespace {

/// Delay after an attempt that failed or found no leader.
constexpr base::duration PostponeDelay = std::chrono::milliseconds(50);

} // namespace

// The upper half, so that the ids of two runs lie far apart.
call_queue::call_queue()
    : NextId(std::uint64_t(std::random_device()()) << 32U) {}

std::uint64_t call_queue::add(fleetlink::leader_call Call, std::string Command,
                              base::instant Deadline, call_handler Handler) {
  const std::uint64_t Id = NextId++;
  Calls[Id] = {.Call = Call,
               .Command = std::move(Command),
               .Deadline = Deadline,
               .DueAt = {},
               .Handler = std::move(Handler)};
  return Id;
}

std::vector<due_call> call_queue::takeDue(base::instant Now) {
  std::vector<due_call> Due;
  for (auto &[Id, Call] : Calls) {
    // expire() ends a call whose deadline has passed.
    if (Call.DueAt > Now || Call.Deadline <= Now)
      continue;
    Call.DueAt = Now + RetryInterval;
    Due.push_back({Id, Call.Call, Call.Command});
  }
  return Due;
}

void call_queue::postpone(std::uint64_t Id, base::instant Now) {
  const auto Found = Calls.find(Id);
  if (Found != Calls.end())
    Found->second.DueAt = Now + PostponeDelay;
}

void call_queue::retryAll(base::instant Now) {
  for (auto &[Id, Call] : Calls)
    Call.DueAt = Now;
}

std::vector<finished_call> call_queue::finish(std::uint64_t Id,
                                              call_result Result) {
  std::vector<finished_call> Finished;
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return Finished;
  Finished.push_back({std::move(Found->second.Handler), std::move(Result)});
  Calls.erase(Found);
  return Finished;
}

std::vector<finished_call> call_queue::expire(base::instant Now) {
  std::vector<finished_call> Finished;
  for (auto Entry = Calls.begin(); Entry != Calls.end();) {
    if (Entry->second.Deadline > Now) {
      ++Entry;
      continue;
    }
    Finished.push_back(
        {std::move(Entry->second.Handler),
         base::fail(base::error_kind::NoQuorum,
                    "no leader confirmed the call in time; its outcome is "
                    "unknown")});
    Entry = Calls.erase(Entry);
  }
  return Finished;
}

} // namespace fulmar::controlnode
