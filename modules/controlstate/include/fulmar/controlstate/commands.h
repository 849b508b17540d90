// The commands that the replicated log carries, and their encoding.

#ifndef FULMAR_CONTROLSTATE_COMMANDS_H
#define FULMAR_CONTROLSTATE_COMMANDS_H

#include "fulmar/base/result.h"
#include "fulmar/claims/iclaimkeeper.h"
#include "fulmar/fleet/targetreport.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace fulmar::controlstate {

/// What the leader found out about a token. The token itself is never in the
/// log: the leader hashes it, and the state compares the hash when it applies
/// the command.
struct token_proof {
  /// The token is the administrator's of the leader's settings, or the order
  /// came through an interface that only operators reach.
  bool Administrator = false;
  /// Hash of the token with the owning team's salt.
  std::string Hash;

  friend auto operator<=>(const token_proof &, const token_proof &) = default;
};

/// Replaces one section; an empty content removes it.
struct edit_command {
  std::string Author;
  std::string Section;
  /// The section's number that this edit creates: the one in force plus one.
  std::uint64_t Number = 0;
  std::string Content;
  token_proof Proof;

  friend auto operator<=>(const edit_command &, const edit_command &) = default;
};

enum class data_centre_action : std::uint8_t { Leave, Return };

struct data_centre_command {
  /// Unique id of the operation, remembered for ever.
  std::string OperationId;
  std::string Name;
  data_centre_action Action = data_centre_action::Leave;
  std::string Author;
  token_proof Proof;

  friend auto operator<=>(const data_centre_command &,
                          const data_centre_command &) = default;
};

/// What a member says of itself.
struct member_report {
  std::string Id;
  std::string Incarnation;
  std::string DataCentre;
  /// Empty when the instances are not grouped in regions.
  std::string Region;
  /// IP:PORT for callers.
  std::string Address;
  std::string RpcAddress;
  bool Stopping = false;

  friend auto operator<=>(const member_report &,
                          const member_report &) = default;
};

/// A member is new or its report has changed.
struct member_report_command {
  member_report Report;

  friend auto operator<=>(const member_report_command &,
                          const member_report_command &) = default;
};

/// A member's lease ran out, or it left. Ignored when another incarnation of
/// it has joined since.
struct member_expired_command {
  std::string Id;
  std::string Incarnation;

  friend auto operator<=>(const member_expired_command &,
                          const member_expired_command &) = default;
};

/// Claims an idempotency key. The holder is written by claims::makeHolder()
/// and must be a live member.
struct claim_command {
  claims::claim_request Request;

  friend auto operator<=>(const claim_command &,
                          const claim_command &) = default;
};

struct settle_claim_command {
  claims::claim_request Request;
  claims::claim_end End = claims::claim_end::Unknown;
  std::optional<claims::recorded_answer> Answer;

  friend auto operator<=>(const settle_claim_command &,
                          const settle_claim_command &) = default;
};

/// A target crashed while it ran a request.
struct crash_command {
  std::string Fingerprint;
  std::string Target;
  std::string Incarnation;

  friend auto operator<=>(const crash_command &,
                          const crash_command &) = default;
};

/// A target answered the request, so that it crashes no target.
struct request_answered_command {
  std::string Fingerprint;
  /// Time since the answer.
  std::int64_t AgeMs = 0;

  friend auto operator<=>(const request_answered_command &,
                          const request_answered_command &) = default;
};

/// Advances the replicated clock and drops what is past its retention.
struct advance_clock_command {
  friend auto operator<=>(const advance_clock_command &,
                          const advance_clock_command &) = default;
};

/// Replaces the routing plan; ignored unless its version is above the one in
/// force.
struct plan_command {
  std::uint64_t Version = 0;
  /// Written by fleet::encodePlan().
  std::string Plan;
  /// The document as the operator sent it, for reading back.
  std::string Document;

  friend auto operator<=>(const plan_command &, const plan_command &) = default;
};

/// A target is new or its report has changed.
struct target_report_command {
  fleet::target_report Report;

  friend auto operator<=>(const target_report_command &,
                          const target_report_command &) = default;
};

/// A target has left; that run of it does not come back.
struct target_left_command {
  std::string Id;
  /// The run that left; whichever is held when 0. Ignored when a later run is
  /// held.
  std::int64_t StartedAtMs = 0;

  friend auto operator<=>(const target_left_command &,
                          const target_left_command &) = default;
};

/// A target has not reported for too long and is forgotten until it does.
/// Ignored when its held report is another one.
struct target_expired_command {
  std::string Id;
  std::int64_t StartedAtMs = 0;
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const target_expired_command &,
                          const target_expired_command &) = default;
};

using command_body =
    std::variant<edit_command, data_centre_command, member_report_command,
                 member_expired_command, claim_command, settle_claim_command,
                 crash_command, advance_clock_command, plan_command,
                 target_report_command, target_left_command,
                 target_expired_command, request_answered_command>;

struct command {
  /// The leader's wall clock. The replicated clock never goes back and
  /// advances by at most MaxClockStepMs a command.
  std::int64_t WallMs = 0;
  command_body Body;

  friend auto operator<=>(const command &, const command &) = default;
};

std::string encodeCommand(const command &Command);
/// Fails with BadRequest on malformed bytes.
base::result<command> decodeCommand(std::string_view Bytes);

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_COMMANDS_H
