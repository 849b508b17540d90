// Notices that this process did not run for a while: it was stopped, its
// machine was suspended, or a disk or the processor held it up. What lay unread
// in its sockets meanwhile has an unknown age.

#ifndef FULMAR_BASE_STALLMONITOR_H
#define FULMAR_BASE_STALLMONITOR_H

#include "fulmar/base/time.h"

#include <chrono>
#include <optional>

namespace fulmar::base {

class stall_monitor {
public:
  /// Half of the second that a caller waits for an answer, and several times
  /// the interval at which instances record their turns.
  static constexpr duration Threshold = std::chrono::milliseconds(500);

  /// What arrived during a stall is read within this time after it.
  static constexpr duration ReadTime = std::chrono::seconds(2);

  /// Records that the process runs at \p Now. Returns the length of the stall
  /// that ends now, if there was one.
  std::optional<duration> recordTurn(instant Now) {
    const std::optional<instant> Before = LastTurn;
    LastTurn = Now;
    if (!Before || Now - *Before < Threshold)
      return std::nullopt;
    EndedAt = Now;
    return Now - *Before;
  }
  /// End of the last stall; empty if there was none.
  [[nodiscard]] std::optional<instant> endedAt() const { return EndedAt; }

private:
  std::optional<instant> LastTurn;
  std::optional<instant> EndedAt;
};

} // namespace fulmar::base

#endif // FULMAR_BASE_STALLMONITOR_H
