// Replies of the replicated state machine to commands, and their encoding.

#ifndef FULMAR_CONTROLSTATE_REPLIES_H
#define FULMAR_CONTROLSTATE_REPLIES_H

#include "fulmar/base/result.h"
#include "fulmar/claims/iclaimstore.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace fulmar::controlstate {

enum class edit_outcome : std::uint8_t { Accepted, Conflict, Refused };

struct edit_reply {
  edit_outcome Outcome = edit_outcome::Refused;
  /// Revision of the document: the number of accepted edits up to this one.
  std::uint64_t Revision = 0;
  /// Index of the log entry that accepted the edit.
  std::uint64_t Serial = 0;
  /// Why the edit was not accepted, one fault per line.
  std::string Message;
  /// Number of the section's last accepted edit.
  std::uint64_t CurrentNumber = 0;
  /// On a conflict: the section's current content and its author.
  std::string CurrentContent;
  std::string CurrentAuthor;
  /// The edit was accepted before; this is a copy of the original reply.
  bool Repeated = false;

  friend auto operator<=>(const edit_reply &, const edit_reply &) = default;
};

struct data_centre_reply {
  /// Index of the log entry that brought about the state.
  std::uint64_t Serial = 0;
  /// State of the data centre after the operation.
  bool InService = true;
  /// The operation was applied before; this is a copy of the original reply.
  bool Repeated = false;

  friend auto operator<=>(const data_centre_reply &,
                          const data_centre_reply &) = default;
};

struct member_reply {
  /// Incremented with every change of membership.
  std::uint64_t Epoch = 0;

  friend auto operator<=>(const member_reply &, const member_reply &) = default;
};

struct claim_reply {
  claims::claim_result Answer;

  friend auto operator<=>(const claim_reply &, const claim_reply &) = default;
};

struct crash_reply {
  /// Distinct crashes that count against the request.
  std::uint64_t Crashes = 0;
  bool Quarantined = false;

  friend auto operator<=>(const crash_reply &, const crash_reply &) = default;
};

/// The command was applied; there is nothing to return.
struct success_reply {
  friend auto operator<=>(const success_reply &,
                          const success_reply &) = default;
};

struct plan_reply {
  /// Version of the current plan after the command.
  std::uint64_t Version = 0;
  /// False if the plan's version is not higher than the current one.
  bool Changed = false;

  friend auto operator<=>(const plan_reply &, const plan_reply &) = default;
};

struct target_reply {
  /// False if the command was outdated or redundant.
  bool Changed = false;

  friend auto operator<=>(const target_reply &, const target_reply &) = default;
};

/// The command changed nothing.
struct error_reply {
  base::error Error;

  friend auto operator<=>(const error_reply &, const error_reply &) = default;
};

/// The index of an alternative is part of the encoding.
using reply = std::variant<success_reply, edit_reply, data_centre_reply,
                           member_reply, claim_reply, crash_reply, error_reply,
                           plan_reply, target_reply>;

std::string encodeReply(const reply &Reply);
/// Fails with BadRequest on malformed bytes.
base::result<reply> decodeReply(std::string_view Bytes);

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_REPLIES_H
