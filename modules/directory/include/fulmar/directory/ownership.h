// Decides which entry owns a target, and whether this instance may act as its
// owner now. Two instances never act for one target at the same time, as long
// as clocks run at the same rate: a gained target is left alone for the
// handover time after the change was learned, by which time every earlier
// owner has learned of the change too or has lost its permission.

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
  /// Of this process; a published member of another incarnation is not it.
  std::string Incarnation;
  /// At least the permission bound of every instance.
  base::duration HandoverDelay = std::chrono::milliseconds(4000);
};

class ownership {
public:
  explicit ownership(ownership_options Given);

  /// Takes over a view that was learned at \p Now. \p Change says what
  /// happened since the view before.
  void onMembership(std::shared_ptr<const membership> View,
                    const membership_change &Change, base::instant Now);

  /// The owner in the current view; empty without live entries.
  [[nodiscard]] std::optional<base::instance_id>
  ownerOf(const base::target_id &Target,
          const base::data_centre_name &DataCentre) const;
  [[nodiscard]] bool owns(const base::target_id &Target,
                          const base::data_centre_name &DataCentre) const;

  /// Whether this instance may grant shares of the target and probe it.
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
  /// In order of learning; all but the first were learned within the handover
  /// time before the last call of onMembership.
  std::deque<epoch> Epochs;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_OWNERSHIP_H
