// The live entries and the data centres' states as published at one serial.

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

/// What happened to members between two serials.
struct membership_change {
  /// Members whose item changed, also those that came and left in between.
  std::vector<base::instance_id> Changed;
  /// False when some change may be missing from the list.
  bool Complete = false;

  friend auto operator<=>(const membership_change &,
                          const membership_change &) = default;
};

/// Reads from \p Items what changed after \p Known.
membership_change changesSince(const publication::published_items &Items,
                               publication::serial Known);

/// An immutable view.
class membership {
public:
  membership() = default;

  /// Items that can't be read are left out and named in faults().
  static membership fromItems(const publication::published_items &Items);

  /// Serial of the items; grows with every change.
  [[nodiscard]] publication::serial epoch() const { return Epoch; }
  [[nodiscard]] const std::vector<member> &members() const { return Members; }
  [[nodiscard]] const std::vector<std::string> &faults() const {
    return Faults;
  }
  /// Null when absent.
  [[nodiscard]] const member *find(const base::instance_id &Id) const;

  [[nodiscard]] bool inService(const base::data_centre_name &DataCentre) const;
  [[nodiscard]] const std::set<base::data_centre_name> &outOfService() const {
    return OutOfServiceDataCentres;
  }

  /// The live entries among which a target of \p DataCentre has its owner:
  /// those of the data centre, or all when it has none. In order of id.
  [[nodiscard]] std::span<const base::instance_id>
  ownerCandidates(const base::data_centre_name &DataCentre) const;

  /// Entries that callers of \p Service may use: neither stopping nor in a
  /// data centre out of service; those of the data centres in \p Nearest come
  /// first, in that order. Within a data centre \p Seed orders them, so that
  /// callers spread.
  [[nodiscard]] std::vector<member>
  entriesForCallers(const base::service_name &Service,
                    std::span<const base::data_centre_name> Nearest,
                    std::uint64_t Seed) const;

  /// The entry that serves published items to the others of its data centre.
  [[nodiscard]] std::optional<base::instance_id>
  relayOf(const base::data_centre_name &DataCentre) const;
  /// The entry that serves published items to the relays of its region.
  [[nodiscard]] std::optional<base::instance_id>
  regionRelayOf(const std::string &Region) const;
  /// Entries that \p Self may ask for changes, the preferred one first. Empty
  /// for a region's relay; after the last one come the control instances.
  [[nodiscard]] std::vector<member>
  parentsOf(const base::instance_id &Self) const;

private:
  void addMember(const publication::item &Item);
  void addDataCentre(const publication::item &Item);
  void index();

  publication::serial Epoch = 0;
  /// In order of id.
  std::vector<member> Members;
  std::set<base::data_centre_name> OutOfServiceDataCentres;
  /// Live entries that are not stopping, in order of id.
  std::vector<base::instance_id> OwnerCandidates;
  std::map<base::data_centre_name, std::vector<base::instance_id>>
      OwnerCandidatesByDataCentre;
  std::vector<std::string> Faults;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_MEMBERSHIP_H
