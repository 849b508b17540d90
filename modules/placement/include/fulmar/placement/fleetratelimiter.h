// Rate limits of targets that hold over all entries.
//
// The combined rate of all entries must stay below what a target can take or
// has asked for, even when the entries cannot reach each other. Each entry
// therefore computes its share from the list of entries alone: only the first
// few entries in the target's rendezvous order send to it, each at a fixed
// interval. Entries whose lists differ by a few members still agree on most of
// the order, so the combined rate grows only by the members that differ.

#ifndef FULMAR_PLACEMENT_FLEETRATELIMITER_H
#define FULMAR_PLACEMENT_FLEETRATELIMITER_H

#include "fulmar/base/time.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::placement {

struct fleet_rate_limiter_options {
  /// Entries that send to a target, in addition to one for each whole request
  /// per second of its limit; at least one does. In a window of any length, the
  /// target gets what its limit allows and one request more from each of them.
  std::size_t ExtraSenders = 0;
  /// An entry that becomes a sender lets one interval pass before it sends: the
  /// entry in whose place it sends may have sent just before.
  bool DelaysFirst = false;

  friend auto operator<=>(const fleet_rate_limiter_options &,
                          const fleet_rate_limiter_options &) = default;
};

class fleet_rate_limiter {
public:
  explicit fleet_rate_limiter(std::string OwnId,
                              fleet_rate_limiter_options Chosen = {})
      : EntryId(std::move(OwnId)), Options(Chosen) {}

  void setEntries(std::vector<std::string> Ids);
  [[nodiscard]] std::size_t entries() const { return Entries.size(); }

  /// Returns true and counts a request if one may be sent to the target now.
  /// \p Rate is the limit of the target in requests per second; it may differ
  /// from one call to the next.
  bool take(const std::string &Target, double Rate, base::instant Now);
  /// Like take(), but does not count a request.
  bool allows(const std::string &Target, double Rate, base::instant Now);
  /// Returns the earliest time, not before \p Now, at which take() succeeds;
  /// empty if only other entries send to the target.
  std::optional<base::instant> availableFrom(const std::string &Target,
                                             double Rate, base::instant Now);

private:
  struct target_use {
    /// Start of the interval that must pass before the next request.
    base::instant Since{};
    base::instant AskedAt{};
  };

  /// Number of entries that send at \p Rate.
  [[nodiscard]] std::size_t senders(double Rate) const;
  /// Number of entries before this one in the target's rendezvous order; empty
  /// if this one is not listed.
  std::optional<std::size_t> rank(const std::string &Target);

  std::string EntryId;
  fleet_rate_limiter_options Options;
  /// Ids of all known entries. Contains this entry's id once the others know
  /// it.
  std::vector<std::string> Entries;
  /// By target id; valid for Entries.
  std::map<std::string, std::optional<std::size_t>> Ranks;
  /// By target id. Targets that have not been used for a while are dropped.
  std::map<std::string, target_use> Uses;
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_FLEETRATELIMITER_H
