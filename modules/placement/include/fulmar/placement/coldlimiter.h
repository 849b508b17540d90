// Distributed rate limit for requests to cold (recently started) targets.
//
// The combined rate of all entries must stay below what a cold target can
// handle, even when the entries cannot reach each other. Each entry therefore
// computes its share from the list of entries alone: only the first few entries
// in the target's rendezvous order send to it, each at a fixed interval.
// Entries whose lists differ by a few members still agree on most of the order,
// so the combined rate grows only by the members that differ.

#ifndef FULMAR_PLACEMENT_COLDLIMITER_H
#define FULMAR_PLACEMENT_COLDLIMITER_H

#include "fulmar/base/time.h"

#include <map>
#include <string>
#include <vector>

namespace fulmar::placement {

class cold_limiter {
public:
  explicit cold_limiter(std::string OwnId) : EntryId(std::move(OwnId)) {}

  void setEntries(std::vector<std::string> Ids);

  /// Returns true and counts a request if one may be sent to the cold target
  /// now. \p Rate is the limit of the target in requests per second.
  bool take(const std::string &Target, double Rate, base::instant Now);
  /// Like take(), but does not count a request.
  [[nodiscard]] bool allows(const std::string &Target, double Rate,
                            base::instant Now) const;

private:
  [[nodiscard]] bool isSender(const std::string &Target,
                              std::size_t Senders) const;

  std::string EntryId;
  /// Ids of all known entries. Contains this entry's id once the others know
  /// it.
  std::vector<std::string> Entries;
  /// Earliest time of the next request, by target id.
  std::map<std::string, base::instant> NextSendAt;
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_COLDLIMITER_H
