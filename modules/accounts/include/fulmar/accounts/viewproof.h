// How recent an entry's view of the fleet is known to be.
//
// An entry asks control instances how recent their state is and dates the reply
// from the moment at which it sent the question: a message that only arrives
// may have waited in a socket while the entry was suspended. The view is proved
// as soon as the entry has applied the state that the reply names.

#ifndef FULMAR_ACCOUNTS_VIEWPROOF_H
#define FULMAR_ACCOUNTS_VIEWPROOF_H

#include "fulmar/base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace fulmar::accounts {

class view_proof {
public:
  /// Records a question that is sent now and returns its nonce.
  std::uint64_t ask(base::instant Now);
  /// Records a reply. \p Latest is the serial of the replier's state, \p Age
  /// the time since a quorum confirmed that state, as measured by the replier.
  void answer(std::uint64_t Nonce, std::uint64_t Latest, base::duration Age);
  /// The view contains everything up to \p Serial.
  void applied(std::uint64_t Serial);

  /// The view lacks nothing that was acknowledged before this time; empty if
  /// that is known of no time.
  [[nodiscard]] std::optional<base::instant> provedAt() const {
    return ProvedAt;
  }

private:
  /// Questions without a reply, with the times at which they were sent.
  std::map<std::uint64_t, base::instant> Asked;
  std::uint64_t LastNonce = 0;
  /// Times that hold once the view has reached a serial, by that serial.
  std::map<std::uint64_t, base::instant> Pending;
  std::uint64_t Applied = 0;
  std::optional<base::instant> ProvedAt;
};

} // namespace fulmar::accounts

#endif // FULMAR_ACCOUNTS_VIEWPROOF_H
