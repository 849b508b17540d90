// The replies of the replicated state to its commands, and their encoding.

#ifndef FULMAR_CONTROLSTATE_REPLIES_H
#define FULMAR_CONTROLSTATE_REPLIES_H

#include "fulmar/base/result.h"
#include "fulmar/claims/iclaimkeeper.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace fulmar::controlstate {

enum class edit_outcome : std::uint8_t { Accepted, Conflict, Refused };

struct edit_reply {
  edit_outcome Outcome = edit_outcome::Refused;
  /// Count of accepted edits of the document up to this one.
  std::uint64_t Revision = 0;
  /// Log index of the accepted edit.
  std::uint64_t Serial = 0;
  /// Why the edit was not accepted, every fault a line.
  std::string Message;
  /// The section's number in force.
  std::uint64_t CurrentNumber = 0;
  /// On a conflict: the content that took the number, and its author.
  std::string CurrentContent;
  std::string CurrentAuthor;
  /// The edit had been accepted before; this is its first answer.
  bool Repeated = false;

  friend auto operator<=>(const edit_reply &, const edit_reply &) = default;
};

struct data_centre_reply {
  /// Log index from which the state holds.
  std::uint64_t Serial = 0;
  /// The state that the operation brought about.
  bool InService = true;
  bool Repeated = false;

  friend auto operator<=>(const data_centre_reply &,
                          const data_centre_reply &) = default;
};

struct member_reply {
  /// Grows with every change of membership.
  std::uint64_t Epoch = 0;

  friend auto operator<=>(const member_reply &, const member_reply &) = default;
};

struct claim_reply {
  claims::claim_answer Answer;

  friend auto operator<=>(const claim_reply &, const claim_reply &) = default;
};

struct crash_reply {
  /// Distinct incarnations that crashed and count.
  std::uint64_t Crashes = 0;
  bool Quarantined = false;

  friend auto operator<=>(const crash_reply &, const crash_reply &) = default;
};

/// The command was carried out and has nothing to tell.
struct success_reply {
  friend auto operator<=>(const success_reply &,
                          const success_reply &) = default;
};

struct plan_reply {
  /// Version in force after the command.
  std::uint64_t Version = 0;
  /// False when a version that is at least as high was in force.
  bool Changed = false;

  friend auto operator<=>(const plan_reply &, const plan_reply &) = default;
};

struct target_reply {
  /// False when a newer report was held.
  bool Changed = false;

  friend auto operator<=>(const target_reply &, const target_reply &) = default;
};

/// The command changed nothing.
struct error_reply {
  base::error Error;

  friend auto operator<=>(const error_reply &, const error_reply &) = default;
};

using reply = std::variant<success_reply, edit_reply, data_centre_reply,
                           member_reply, claim_reply, crash_reply, error_reply,
                           plan_reply, target_reply>;

std::string encodeReply(const reply &Reply);
/// Fails with BadRequest on malformed bytes.
base::result<reply> decodeReply(std::string_view Bytes);

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_REPLIES_H
