// Who may send how often to a cold target.
//
// Answers load that falls on targets which have just started: together, all
// entries must stay below what such a target bears, whether or not they can
// reach each other. Each entry works its part out from the list of entries
// alone. Only the first few entries in the target's rendezvous order send,
// each at its own fixed distance. Entries whose lists differ by some members
// agree on most of the order, so the sum grows only by the members that differ.

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

  /// True when a request may be sent to the cold target now; it then counts
  /// as sent. \p Rate: requests a second that the target bears.
  bool take(const std::string &Target, double Rate, base::instant Now);
  /// As take(), but counts nothing.
  [[nodiscard]] bool allows(const std::string &Target, double Rate,
                            base::instant Now) const;

private:
  [[nodiscard]] bool isSender(const std::string &Target,
                              std::size_t Senders) const;

  std::string EntryId;
  /// Own id included once it is known to the others.
  std::vector<std::string> Entries;
  /// When each target may be sent to again.
  std::map<std::string, base::instant> NextSendAt;
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_COLDLIMITER_H
