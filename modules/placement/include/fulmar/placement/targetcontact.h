// Tells whether an entry has lost its network path to the targets of a service,
// as opposed to single targets being down or full.
//
// Targets fail one by one; a network partition silences all of them at once. An
// entry has lost contact when several targets in a row have not answered and
// none has answered since the first of them was asked.

#ifndef FULMAR_PLACEMENT_TARGETCONTACT_H
#define FULMAR_PLACEMENT_TARGETCONTACT_H

#include "fulmar/base/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace fulmar::placement {

enum class contact_change : std::uint8_t { None, Lost, Regained };

class target_contact {
public:
  /// Records that \p Target did not answer what was sent to it at \p AskedAt,
  /// or that it could not be reached. \p Askable is the number of targets that
  /// may be asked: others of the service may be leaving, paused or cold.
  contact_change silent(const std::string &Target, std::size_t Askable,
                        base::instant AskedAt, base::instant Now);
  /// Records that some target answered, whatever the answer was.
  contact_change answered(base::instant Now);

  [[nodiscard]] bool lost() const { return LostAt.has_value(); }
  /// Start of the present loss, or of the last one.
  [[nodiscard]] base::instant lostAt() const { return LastLostAt; }
  /// Number of targets that have been silent since the last answer.
  [[nodiscard]] std::size_t silentCount() const { return Silent.size(); }
  /// Empty before the first answer.
  [[nodiscard]] std::optional<base::instant> lastAnswer() const {
    return LastAnswer;
  }
  [[nodiscard]] bool answeredSince(base::instant Time) const {
    return LastAnswer && *LastAnswer >= Time;
  }

private:
  /// Targets that were silent after LastAnswer.
  std::set<std::string> Silent;
  std::optional<base::instant> LastAnswer;
  /// Set exactly while contact is lost.
  std::optional<base::instant> LostAt;
  base::instant LastLostAt{};
};

} // namespace fulmar::placement

#endif // FULMAR_PLACEMENT_TARGETCONTACT_H
