// Determines which entry owns a target, and whether this instance may currently
// act as its owner.
//
// Two instances never act as owner of the same target at the same time,
// provided that their clocks run at the same rate. An instance that gains a
// target waits for the handover delay after it learned of the change. By then,
// every earlier owner has either learned of the change or lost its permission.

#ifndef FULMAR_DIRECTORY_OWNERSHIP_H
#define FULMAR_DIRECTORY_OWNERSHIP_H

#include "fulmar/directory/freshness.h"
#include "fulmar/directory/membership.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace fulmar::directory {

struct ownership_options {
  base::instance_id Self;
  /// Incarnation of this process. A published member with the same id but
  /// another incarnation is a different process.
  std::string Incarnation;
  /// Must not be shorter than the permission time of any instance.
  base::duration HandoverDelay = std::chrono::milliseconds(4000);
};

class ownership {
public:
  explicit ownership(ownership_options Given);

  /// Applies a view that was received at \p Now. \p Change lists the members
  /// that changed since the previous view.
  void onMembership(std::shared_ptr<const membership> View,
                    const membership_change &Change, base::instant Now);

  /// Returns the owner in the current view; empty without live entries.
  [[nodiscard]] std::optional<base::instance_id>
  ownerOf(const base::target_id &Target,
          const base::data_centre_name &DataCentre) const;
  [[nodiscard]] bool owns(const base::target_id &Target,
                          const base::data_centre_name &DataCentre) const;

  /// Returns whether this instance may grant shares of the target and probe it.
  [[nodiscard]] bool mayAct(const base::target_id &Target,
                            const base::data_centre_name &DataCentre,
                            const freshness &Freshness,
                            base::instant Now) const;

  [[nodiscard]] const membership &view() const;
  [[nodiscard]] const base::instance_id &self() const { return Options.Self; }

private:
  struct epoch {
    std::shared_ptr<const membership> View;
    membership_change Change;
    base::instant LearnedAt{};
  };

  [[nodiscard]] bool ownsIn(const membership &View,
                            const base::target_id &Target,
                            const base::data_centre_name &DataCentre) const;
  [[nodiscard]] bool
  ownedThroughout(const epoch &Before, const epoch &After,
                  const base::target_id &Target,
                  const base::data_centre_name &DataCentre) const;

  ownership_options Options;
  /// Ordered by time of receipt. All but the first were received within the
  /// handover delay before the last call of onMembership().
  std::deque<epoch> Epochs;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_OWNERSHIP_H
