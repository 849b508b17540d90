// Remembers when each parent last failed.

#include "fulmar/directory/parentchoice.h"

#include <algorithm>

namespace fulmar::directory {

void parent_choice::setParents(std::vector<std::string> Addresses) {
  Parents = std::move(Addresses);
  std::erase_if(FailedAt, [this](const auto &Failure) {
    return std::find(Parents.begin(), Parents.end(), Failure.first) ==
           Parents.end();
  });
}

std::string parent_choice::current(base::instant Now) const {
  const std::string *Oldest = nullptr;
  base::instant OldestAt = base::instant::max();
  for (const std::string &Address : Parents) {
    const auto Failure = FailedAt.find(Address);
    if (Failure == FailedAt.end() ||
        Now - Failure->second >= Options.RetryAfter)
      return Address;
    if (Failure->second < OldestAt) {
      Oldest = &Address;
      OldestAt = Failure->second;
    }
  }
  return Oldest == nullptr ? std::string() : *Oldest;
}

void parent_choice::onAnswer(const std::string &Address,
                             base::duration ProofAge, base::instant Now) {
  if (ProofAge > Options.MaxProofAge)
    onFailure(Address, Now);
  else
    FailedAt.erase(Address);
}

void parent_choice::onFailure(const std::string &Address, base::instant Now) {
  if (std::find(Parents.begin(), Parents.end(), Address) != Parents.end())
    FailedAt[Address] = Now;
}

} // namespace fulmar::directory
