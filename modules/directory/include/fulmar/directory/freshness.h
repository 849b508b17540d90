// Tracks the age of the quorum proof: the confirmation by a quorum that the
// state active on this instance is current. Without a recent proof, an instance
// starts no new work.

#ifndef FULMAR_DIRECTORY_FRESHNESS_H
#define FULMAR_DIRECTORY_FRESHNESS_H

#include "fulmar/base/time.h"

#include <optional>

namespace fulmar::directory {

/// Initially there is no proof, so no work may be started.
class freshness {
public:
  explicit freshness(base::duration Bound) : Permission(Bound) {}

  /// Records the parent's answer to a request sent at \p SentAt, whose proof
  /// was \p ProofAge old. Call it only after the changes in the answer have
  /// been applied.
  void onAnswer(base::instant SentAt, base::duration ProofAge);

  [[nodiscard]] bool mayStartWork(base::instant Now) const;
  /// Returns the age of the proof; empty before the first one.
  [[nodiscard]] std::optional<base::duration> age(base::instant Now) const;
  [[nodiscard]] base::duration permission() const { return Permission; }

private:
  base::duration Permission;
  /// Time of the latest proof; never decreases.
  std::optional<base::instant> ProvedAt;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_FRESHNESS_H
