// The state that every entry holds a copy of: sections of the document, the
// states of data centres, members and quarantined requests. It is a map from
// key to value in which each item carries the serial of its last change, so
// that any holder can pass on what changed since a serial. Control instances
// fill it; relays and entries merge it and serve it onwards unchanged.

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

/// Index of the replicated log entry that made a change.
using serial = std::uint64_t;

/// Key prefixes; the rest of the key is the name.
inline constexpr const char *SectionPrefix = "section/";
inline constexpr const char *DataCentrePrefix = "data-centre/";
inline constexpr const char *MemberPrefix = "member/";
inline constexpr const char *QuarantinePrefix = "quarantine/";
/// A fleet::target_report.
inline constexpr const char *TargetPrefix = "target/";
/// Whole key of the fleet::routing_plan in force, without its routes.
inline constexpr const char *PlanKey = "plan";
/// A fleet::route of that plan, by host and path: a plan that changes one of
/// its routes is told to the entries as that route.
inline constexpr const char *RoutePrefix = "plan-route/";

struct item {
  std::string Key;
  serial Serial = 0;
  /// JSON text, or msgpack where the key says so; empty when the item was
  /// removed.
  std::string Value;

  friend auto operator<=>(const item &, const item &) = default;
};

/// What one holder passes to another.
struct changes {
  /// The receiver must hold this serial or a later one; 0 for a full copy.
  serial Since = 0;
  serial Until = 0;
  /// Digest of all items at Until.
  std::uint64_t Digest = 0;
  std::vector<item> Items;

  friend auto operator<=>(const changes &, const changes &) = default;
};

class published_items {
public:
  /// Records a change made by the log entry \p Serial. An empty \p Value
  /// removes the item. A change to the same value is dropped.
  void put(const std::string &Key, std::string Value, serial Serial);

  [[nodiscard]] std::optional<std::string> value(const std::string &Key) const;
  /// Null when there is none; valid until the next change.
  [[nodiscard]] const item *find(const std::string &Key) const;
  /// Present items whose key begins with \p Prefix, in key order.
  [[nodiscard]] std::vector<item> withPrefix(const std::string &Prefix) const;

  /// Serial of the last change.
  [[nodiscard]] serial latest() const { return Latest; }
  [[nodiscard]] std::uint64_t digest() const { return Digest; }

  /// What a holder of \p Known lacks; a full copy when \p Known is 0, ahead of
  /// this one, or older than the removals still remembered.
  [[nodiscard]] changes changesSince(serial Known) const;

  /// Takes changes over. Fails with Conflict, leaving the items untouched,
  /// when they do not continue from here or the digest does not match: the
  /// caller then asks for a full copy. Changes older than what is held are
  /// ignored.
  base::result<void> merge(const changes &Changes);

private:
  using item_map = std::map<std::string, item>;

  /// Returns what was held under the key; its key is empty if nothing was.
  item store(item Changed);
  /// Undoes a store() that returned \p Replaced.
  void undoStore(const std::string &Key, item Replaced);
  void pruneRemovals();

  item_map Items;
  serial Latest = 0;
  /// Removals up to this serial may have been forgotten.
  serial PrunedUntil = 0;
  std::size_t RemovalCount = 0;
  /// Sum of the digests of all present items.
  std::uint64_t Digest = 0;
};

Json::Value toJson(const changes &Changes);
/// Fails with BadRequest when a field is missing or of the wrong type.
base::result<changes> changesFromJson(const Json::Value &Json);

} // namespace fulmar::publication

#endif // FULMAR_PUBLICATION_PUBLISHEDITEMS_H
