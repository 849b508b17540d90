// Queue of calls that only the leader can execute. Each call is sent to the
// current leader until that has executed or rejected it, or until its deadline
// passes, so a change of leader or a lost reply only delays the caller. A call
// may therefore be executed more than once: commands must be idempotent.

#ifndef FULMAR_CONTROLNODE_CALLQUEUE_H
#define FULMAR_CONTROLNODE_CALLQUEUE_H

#include "fulmar/base/result.h"
#include "fulmar/base/time.h"
#include "fulmar/fleetlink/linkmessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fulmar::controlnode {

using call_result = base::result<std::string>;
using call_handler = std::function<void(call_result)>;

/// An attempt of a call that is due now.
struct due_call {
  std::uint64_t Id = 0;
  fleetlink::leader_call Call = fleetlink::leader_call::Propose;
  std::string Command;
};

/// A finished call with the handler that receives its result.
struct finished_call {
  call_handler Handler;
  call_result Result;
};

class call_queue {
public:
  /// Interval between attempts without a reply. Covers several round trips and
  /// a disk sync.
  static constexpr base::duration RetryInterval =
      std::chrono::milliseconds(300);

  call_queue();

  std::uint64_t add(fleetlink::leader_call Call, std::string Command,
                    base::instant Deadline, call_handler Handler);

  /// Returns the attempts that are due and schedules the next ones.
  std::vector<due_call> takeDue(base::instant Now);
  /// Schedules another attempt shortly after \p Now, for a call that could not
  /// be executed yet.
  void postpone(std::uint64_t Id, base::instant Now);
  /// Makes every call due, for example because there is a new leader.
  void retryAll(base::instant Now);

  /// Removes a call and returns it with \p Result; empty if it has already
  /// finished.
  std::vector<finished_call> finish(std::uint64_t Id, call_result Result);
  /// Removes the calls whose deadline has passed and returns them with an
  /// error.
  std::vector<finished_call> expire(base::instant Now);

  [[nodiscard]] std::size_t size() const { return Calls.size(); }

private:
  struct call {
    fleetlink::leader_call Call = fleetlink::leader_call::Propose;
    std::string Command;
    base::instant Deadline{};
    base::instant DueAt{};
    call_handler Handler;
  };

  std::map<std::uint64_t, call> Calls;
  /// Begins at random: a reply names only the id, and one to a call of an
  /// earlier run of this instance may still arrive.
  std::uint64_t NextId;
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_CALLQUEUE_H
