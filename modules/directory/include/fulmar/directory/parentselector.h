// Selects the instance to ask for changes next: the first parent in order of
// preference that has not recently failed or returned an old proof.

#ifndef FULMAR_DIRECTORY_PARENTSELECTOR_H
#define FULMAR_DIRECTORY_PARENTSELECTOR_H

#include "fulmar/base/time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace fulmar::directory {

struct parent_selector_options {
  /// Time for which a parent is skipped after a failure.
  base::duration RetryAfter = std::chrono::seconds(2);
  /// An answer with an older proof counts as a failure. This also breaks cycles
  /// of parents, in which proofs only become older.
  base::duration MaxProofAge = std::chrono::seconds(2);
};

class parent_selector {
public:
  explicit parent_selector(const parent_selector_options &Given)
      : Options(Given) {}

  /// Sets the RPC addresses in order of preference. Failures recorded for an
  /// address that was already known are kept.
  void setParents(std::vector<std::string> Addresses);

  /// Returns the parent to ask now. If all have failed, returns the one that
  /// failed least recently; empty without parents.
  [[nodiscard]] std::string current(base::instant Now) const;

  void onAnswer(const std::string &Address, base::duration ProofAge,
                base::instant Now);
  void onFailure(const std::string &Address, base::instant Now);

private:
  parent_selector_options Options;
  std::vector<std::string> Parents;
  std::map<std::string, base::instant> FailedAt;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_PARENTSELECTOR_H
