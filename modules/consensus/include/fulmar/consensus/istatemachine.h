// Interface of the replicated state machine. Implementations must be
// deterministic: the same commands in the same order produce the same state and
// replies on every instance.

#ifndef FULMAR_CONSENSUS_ISTATEMACHINE_H
#define FULMAR_CONSENSUS_ISTATEMACHINE_H

#include "fulmar/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmar::consensus {

/// Index in the replicated log; the first entry has index 1.
using log_index = std::uint64_t;

class istate_machine {
public:
  virtual ~istate_machine() = default;

  /// Applies a committed command and returns the encoded reply.
  virtual std::string apply(log_index Index, std::string_view Command) = 0;
  /// Returns the complete encoded state.
  [[nodiscard]] virtual std::string snapshot() const = 0;
  /// Replaces the state with a snapshot.
  virtual base::result<void> restore(std::string_view Snapshot) = 0;
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_ISTATEMACHINE_H
