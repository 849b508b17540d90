// Whether the caller of an order is known to wait for it still.
//
// An order may lie in a socket while its instance stands still, or on the way
// while the network is cut, for longer than its caller waits; and the caller's
// close may be lost. Such an order is not carried out but sent back with a
// token. Only a caller that still waits comes again with the token, which
// proves that it sent the order after the token was issued.

#ifndef FULMAR_CONTROLNODE_CALLERCONFIRMATION_H
#define FULMAR_CONTROLNODE_CALLERCONFIRMATION_H

#include "fulmar/base/stallmonitor.h"

#include <chrono>
#include <compare>
#include <optional>
#include <string>

namespace fulmar::controlnode {

/// What an instance knows of the age of an order that it has read.
struct order_age {
  /// Time from the accept of the connection, or from the answer before, until
  /// the order was read. It was on its way at most that long, if the instance
  /// ran all the while.
  base::duration Awaited{};
  /// End of the instance's last stall; empty if there was none.
  std::optional<base::instant> StallEndedAt;

  friend auto operator<=>(const order_age &, const order_age &) = default;
};

class caller_confirmation {
public:
  /// Callers wait for a second. With the shortest stall that is noticed, an
  /// order of this age was still waited for when it was read.
  static constexpr base::duration MaxAwaited = std::chrono::milliseconds(500);
  /// Longer than a round trip to a caller, shorter than the caller waits.
  static constexpr base::duration TokenLifetime =
      std::chrono::milliseconds(500);

  /// Whether the caller has to confirm an order that came with \p Token, which
  /// is empty if it came without.
  [[nodiscard]] bool isNeeded(const order_age &Age, const std::string &Token,
                              base::instant Now) const;
  /// The token to send an order back with.
  const std::string &issue(base::instant Now);

private:
  std::string Issued;
  std::optional<base::instant> IssuedAt;
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_CALLERCONFIRMATION_H
