#include "fulmar/directory/parentselector.h"

#include <algorithm>

namespace fulmar::directory {

void parent_selector::setParents(std::vector<std::string> Addresses) {
  Parents = std::move(Addresses);
  std::erase_if(FailedAt, [this](const auto &Failure) {
    return std::find(Parents.begin(), Parents.end(), Failure.first) ==
           Parents.end();
  });
}

std::string parent_selector::current(base::instant Now) const {
  const std::string *FirstFailed = nullptr;
  base::instant FirstFailedAt = base::instant::max();
  for (const std::string &Address : Parents) {
    const auto Failure = FailedAt.find(Address);
    if (Failure == FailedAt.end() ||
        Now - Failure->second >= Options.RetryAfter)
      return Address;
    if (Failure->second < FirstFailedAt) {
      FirstFailed = &Address;
      FirstFailedAt = Failure->second;
    }
  }
  return FirstFailed == nullptr ? std::string() : *FirstFailed;
}

void parent_selector::onAnswer(const std::string &Address,
                               base::duration ProofAge, base::instant Now) {
  if (ProofAge > Options.MaxProofAge)
    onFailure(Address, Now);
  else
    FailedAt.erase(Address);
}

void parent_selector::onFailure(const std::string &Address, base::instant Now) {
  if (std::find(Parents.begin(), Parents.end(), Address) != Parents.end())
    FailedAt[Address] = Now;
}

} // namespace fulmar::directory
