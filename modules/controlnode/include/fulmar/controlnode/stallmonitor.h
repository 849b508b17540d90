// Notices that this process did not run for a while: it was stopped, its
// machine was suspended, or a disk or the processor held it up. What lay unread
// in its sockets meanwhile has an unknown age.

#ifndef FULMAR_CONTROLNODE_STALLMONITOR_H
#define FULMAR_CONTROLNODE_STALLMONITOR_H

#include "fulmar/base/time.h"

#include <chrono>
#include <optional>

namespace fulmar::controlnode {

class stall_monitor {
public:
  /// Twenty missed ticks of a control instance, and half of the second that a
  /// caller waits for an answer.
  static constexpr base::duration Threshold = std::chrono::milliseconds(500);

  /// Records that the process runs at \p Now. Returns the length of the stall
  /// that ends now, if there was one.
  std::optional<base::duration> recordTurn(base::instant Now) {
    const std::optional<base::instant> Before = LastTurn;
    LastTurn = Now;
    if (!Before || Now - *Before < Threshold)
      return std::nullopt;
    EndedAt = Now;
    return Now - *Before;
  }
  /// End of the last stall; empty if there was none.
  [[nodiscard]] std::optional<base::instant> endedAt() const { return EndedAt; }

private:
  std::optional<base::instant> LastTurn;
  std::optional<base::instant> EndedAt;
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_STALLMONITOR_H
