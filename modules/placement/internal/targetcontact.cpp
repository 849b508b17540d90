#include "fulmar/placement/targetcontact.h"

#include <algorithm>

namespace fulmar::placement {

namespace {

/// Number of targets that must be silent in a row. Fewer are more likely to be
/// down themselves; more would delay the finding on an entry with few requests.
constexpr std::size_t SilentTargetsToLose = 3;
/// An answer is valid for this long: while new connections are refused and open
/// ones live on, answers and refusals alternate within milliseconds.
constexpr base::duration AnswerValidity = std::chrono::milliseconds(100);

} // namespace

contact_change target_contact::silent(const std::string &Target,
                                      std::size_t Askable,
                                      base::instant AskedAt,
                                      base::instant Now) {
  if (LastAnswer &&
      (AskedAt < *LastAnswer || Now - *LastAnswer < AnswerValidity))
    return contact_change::None;
  Silent.insert(Target);
  if (LostAt || Askable == 0 ||
      Silent.size() < std::min(SilentTargetsToLose, Askable))
    return contact_change::None;
  LostAt = LastLostAt = Now;
  return contact_change::Lost;
}

contact_change target_contact::answered(base::instant Now) {
  Silent.clear();
  LastAnswer = Now;
  if (!LostAt)
    return contact_change::None;
  LostAt.reset();
  return contact_change::Regained;
}

} // namespace fulmar::placement
