// The state that is replicated to every entry: sections of the document, states
// of data centres, members, targets, the routing plan and quarantined requests.
//
// It is a key-value map in which each item has the serial of its last change,
// so that any replica can send another one the changes since a given serial.
// Control instances write the items; relays and entries merge changes and pass
// them on unmodified.

#ifndef FULMAR_PUBLICATION_PUBLISHEDITEMS_H
#define FULMAR_PUBLICATION_PUBLISHEDITEMS_H

#include "fulmar/base/result.h"

#include <json/value.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::publication {

/// Index of the entry in the replicated log that made a change.
using serial = std::uint64_t;

/// Prefixes of keys; they are followed by the name of the item.
inline constexpr const char *SectionPrefix = "section/";
inline constexpr const char *DataCentrePrefix = "data-centre/";
inline constexpr const char *MemberPrefix = "member/";
inline constexpr const char *QuarantinePrefix = "quarantine/";
/// The value is a fleet::target_report.
inline constexpr const char *TargetPrefix = "target/";
/// Complete key of the current fleet::routing_plan, without its routes.
inline constexpr const char *PlanKey = "plan";
/// Followed by the host and path prefix of a route in the current plan; the
/// value is a fleet::route. Routes are separate items so that a plan with one
/// changed route is sent to the entries as that route only.
inline constexpr const char *RoutePrefix = "plan-route/";

/// Complete key of the plan's fleet::account_set. One item, so that a reader
/// has either all accounts or none. Present once a plan has had accounts.
inline constexpr const char *AccountsKey = "accounts";
/// Followed by the name of a service that has a roll-out.
inline constexpr const char *RolloutPrefix = "rollout/";

struct item {
  std::string Key;
  serial Serial = 0;
  /// JSON text or msgpack, depending on the key. Empty if the item was removed.
  std::string Value;

  friend auto operator<=>(const item &, const item &) = default;
};

/// Changes that one replica sends to another.
struct changes {
  /// The receiver must have this serial or a later one; 0 for a full copy.
  serial Since = 0;
  serial Until = 0;
  /// Digest of all items of the sender at Until.
  std::uint64_t Digest = 0;
  std::vector<item> Items;

  friend auto operator<=>(const changes &, const changes &) = default;
};

class published_items {
public:
  /// Sets an item, as a change made by the log entry \p Serial. An empty
  /// \p Value removes the item. Does nothing if the value is the same.
  void put(const std::string &Key, std::string Value, serial Serial);

  [[nodiscard]] std::optional<std::string> value(const std::string &Key) const;
  /// Null if there is no such item. The pointer is valid until the next change.
  [[nodiscard]] const item *find(const std::string &Key) const;
  /// All items whose key begins with \p Prefix, ordered by key.
  [[nodiscard]] std::vector<item> withPrefix(const std::string &Prefix) const;

  /// Serial of the last change.
  [[nodiscard]] serial latest() const { return Latest; }
  [[nodiscard]] std::uint64_t digest() const { return Digest; }

  /// The changes for a replica whose latest serial is \p Known. A full copy if
  /// \p Known is 0, later than latest(), or so old that removals since then may
  /// have been pruned.
  [[nodiscard]] changes changesSince(serial Known) const;

  /// Applies changes from another replica. Changes that are older than latest()
  /// are ignored. Fails with Conflict, without any change, if they start after
  /// latest() or the digest does not match; the caller then has to request a
  /// full copy.
  base::result<void> merge(const changes &Changes);

private:
  using item_map = std::map<std::string, item>;

  /// Returns the previous item; its key is empty if there was none.
  item store(item Changed);
  /// Reverts the store() call that returned \p Replaced.
  void undoStore(const std::string &Key, item Replaced);
  /// Drops the entries of all removed items if there are too many.
  void pruneRemovals();

  /// Includes removed items, whose value is empty, until they are pruned.
  item_map Items;
  serial Latest = 0;
  /// Removals up to this serial may have been pruned.
  serial PrunedUntil = 0;
  /// Number of removed items in Items.
  std::size_t RemovalCount = 0;
  /// Sum of the digests of all items that are not removed.
  std::uint64_t Digest = 0;
};

Json::Value toJson(const changes &Changes);
/// Fails with BadRequest if a field is missing or has the wrong type.
base::result<changes> changesFromJson(const Json::Value &Json);

} // namespace fulmar::publication

#endif // FULMAR_PUBLICATION_PUBLISHEDITEMS_H
