// Dates the proof that a quorum stood behind what this instance has in force.
// Without a recent proof an instance starts no new work.

#ifndef FULMAR_DIRECTORY_FRESHNESS_H
#define FULMAR_DIRECTORY_FRESHNESS_H

#include "fulmar/base/time.h"

#include <optional>

namespace fulmar::directory {

/// Begins without permission.
class freshness {
public:
  explicit freshness(base::duration Bound) : Permission(Bound) {}

  /// An answer of the parent to a question sent at \p SentAt, whose proof was
  /// \p ProofAge old. Call it after the changes in the answer are in force.
  void onAnswer(base::instant SentAt, base::duration ProofAge);

  [[nodiscard]] bool mayStartWork(base::instant Now) const;
  /// Age of the proof; empty before the first.
  [[nodiscard]] std::optional<base::duration> age(base::instant Now) const;
  [[nodiscard]] base::duration permission() const { return Permission; }

private:
  base::duration Permission;
  /// Never moves backwards.
  std::optional<base::instant> ProvedAt;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_FRESHNESS_H
