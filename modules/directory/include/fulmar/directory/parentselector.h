// Chooses whom to ask for changes next: the parents in order of preference,
// passing over those that lately did not answer or had no fresher proof.

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
  /// Time for which a parent that failed is passed over.
  base::duration RetryAfter = std::chrono::seconds(2);
  /// An answer whose proof is older counts as a failure. It also breaks
  /// cycles, in which proofs only grow older.
  base::duration MaxProofAge = std::chrono::seconds(2);
};

class parent_selector {
public:
  explicit parent_selector(const parent_selector_options &Given)
      : Options(Given) {}

  /// RPC addresses in order of preference. What is known of an address that
  /// stays is kept.
  void setParents(std::vector<std::string> Addresses);

  /// The parent to ask now; when all failed, the one that failed first. Empty
  /// without parents.
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
