// Immutable view of the live entries and of the data centres' states, as
// published at one serial.

#ifndef FULMAR_DIRECTORY_MEMBERSHIP_H
#define FULMAR_DIRECTORY_MEMBERSHIP_H

#include "fulmar/directory/directorytypes.h"
#include "fulmar/publication/publisheditems.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace fulmar::directory {

/// The members that changed between two serials.
struct membership_change {
  /// Members whose item changed, including those that joined and left in
  /// between.
  std::vector<base::instance_id> Changed;
  /// False if changes may be missing from the list.
  bool Complete = false;

  friend auto operator<=>(const membership_change &,
                          const membership_change &) = default;
};

/// Returns the members of \p Items that changed after serial \p Known.
membership_change changesSince(const publication::published_items &Items,
                               publication::serial Known);

class membership {
public:
  membership() = default;

  /// Builds a view. Items that cannot be parsed are skipped and listed in
  /// faults().
  static membership fromItems(const publication::published_items &Items);

  /// Returns the serial of the items, which increases with every change.
  [[nodiscard]] publication::serial epoch() const { return Epoch; }
  [[nodiscard]] const std::vector<member> &members() const { return Members; }
  [[nodiscard]] const std::vector<std::string> &faults() const {
    return Faults;
  }
  /// Returns null if there is no such member.
  [[nodiscard]] const member *find(const base::instance_id &Id) const;

  [[nodiscard]] bool inService(const base::data_centre_name &DataCentre) const;
  [[nodiscard]] const std::set<base::data_centre_name> &outOfService() const {
    return OutOfServiceDataCentres;
  }

  /// Returns the live entries that may own a target of \p DataCentre, ordered
  /// by id: the entries of that data centre, or all entries if it has none.
  [[nodiscard]] std::span<const base::instance_id>
  ownerCandidates(const base::data_centre_name &DataCentre) const;

  /// Returns the entries that callers of \p Service may use: those that are not
  /// stopping and whose data centre is in service. Entries of the data centres
  /// in \p Nearest come first, in that order. Within a data centre, the order
  /// depends on \p Seed, to distribute the callers.
  [[nodiscard]] std::vector<member>
  entriesForCallers(const base::service_name &Service,
                    std::span<const base::data_centre_name> Nearest,
                    std::uint64_t Seed) const;

  /// Returns the entry that distributes published items to the other entries of
  /// its data centre.
  [[nodiscard]] std::optional<base::instance_id>
  relayOf(const base::data_centre_name &DataCentre) const;
  /// Returns the entry that distributes published items to the relays of its
  /// region.
  [[nodiscard]] std::optional<base::instance_id>
  regionRelayOf(const std::string &Region) const;
  /// Returns the entries that \p Self may ask for changes, the preferred one
  /// first. Empty for the relay of a region. The control instances serve as the
  /// last resort after these entries.
  [[nodiscard]] std::vector<member>
  parentsOf(const base::instance_id &Self) const;

private:
  void addMember(const publication::item &Item);
  void addDataCentre(const publication::item &Item);
  void index();

  publication::serial Epoch = 0;
  /// Ordered by id.
  std::vector<member> Members;
  std::set<base::data_centre_name> OutOfServiceDataCentres;
  /// Live entries that are not stopping, ordered by id.
  std::vector<base::instance_id> OwnerCandidates;
  std::map<base::data_centre_name, std::vector<base::instance_id>>
      OwnerCandidatesByDataCentre;
  std::vector<std::string> Faults;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_MEMBERSHIP_H
