// The state that the replicated log drives. Deterministic: the same commands
// in the same order give the same state and the same replies everywhere.

#ifndef FULMAR_CONSENSUS_ISTATEMACHINE_H
#define FULMAR_CONSENSUS_ISTATEMACHINE_H

#include "fulmar/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmar::consensus {

/// Position in the replicated log; the first entry has index 1.
using log_index = std::uint64_t;

class istate_machine {
public:
  virtual ~istate_machine() = default;

  /// Applies a committed command and returns the encoded reply.
  virtual std::string apply(log_index Index, std::string_view Command) = 0;
  /// The whole state, encoded.
  [[nodiscard]] virtual std::string snapshot() const = 0;
  /// Replaces the state by a snapshot.
  virtual base::result<void> restore(std::string_view Snapshot) = 0;
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_ISTATEMACHINE_H
