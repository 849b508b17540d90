// Calls that only the leader can carry out. Each is tried at whoever leads
// until it succeeds, is refused, or its time is over, so that a change of
// leader or a lost answer in between costs the caller no more than a wait.
// Every call may therefore be carried out twice: commands are idempotent.

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

/// A try that is due.
struct due_call {
  std::uint64_t Id = 0;
  fleetlink::leader_call Call = fleetlink::leader_call::Propose;
  std::string Command;
};

/// A call that has come to its end, for its handler.
struct finished_call {
  call_handler Handler;
  call_result Result;
};

class call_queue {
public:
  /// A try without an answer is repeated after this: some round trips and a
  /// disk's sync.
  static constexpr base::duration RetryInterval =
      std::chrono::milliseconds(300);

  std::uint64_t add(fleetlink::leader_call Call, std::string Command,
                    base::instant Deadline, call_handler Handler);

  /// The tries that are due now.
  std::vector<due_call> takeDue(base::instant Now);
  /// The call could not be carried out yet: tried again shortly after \p Now.
  void postpone(std::uint64_t Id, base::instant Now);
  /// Makes every call due, because there is a new leader.
  void retryAll(base::instant Now);

  /// Ends a call; nothing for one that has ended.
  std::vector<finished_call> finish(std::uint64_t Id, call_result Result);
  /// Ends the calls whose time is over.
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
  std::uint64_t NextId = 1;
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_CALLQUEUE_H
