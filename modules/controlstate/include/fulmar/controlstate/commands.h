// Commands of the replicated log and their encoding.

#ifndef FULMAR_CONTROLSTATE_COMMANDS_H
#define FULMAR_CONTROLSTATE_COMMANDS_H

#include "fulmar/base/result.h"
#include "fulmar/claims/iclaimstore.h"
#include "fulmar/fleet/targetreport.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace fulmar::controlstate {

/// Proves that the sender of a command had a token, without putting the token
/// into the log: the leader hashes the token, and the state machine compares
/// the hash when it applies the command.
struct token_proof {
  /// The token matches the administrator's token in the leader's settings, or
  /// the command came through an interface that only operators can reach.
  bool Administrator = false;
  /// Hash of the token, salted like the hash of the owning team's token.
  std::string Hash;

  friend auto operator<=>(const token_proof &, const token_proof &) = default;
};

/// Replaces a section of the document. Empty content removes the section.
struct edit_command {
  std::string Author;
  std::string Section;
  /// Number of this edit within the section: that of the section's last
  /// accepted edit plus one.
  std::uint64_t Number = 0;
  std::string Content;
  token_proof Proof;

  friend auto operator<=>(const edit_command &, const edit_command &) = default;
};

enum class data_centre_action : std::uint8_t { Leave, Return };

/// Takes a data centre out of service or puts it back.
struct data_centre_command {
  /// Unique, or numbered (datacentretable.h); kept permanently to recognise
  /// duplicates.
  std::string OperationId;
  std::string Name;
  data_centre_action Action = data_centre_action::Leave;
  std::string Author;
  token_proof Proof;

  friend auto operator<=>(const data_centre_command &,
                          const data_centre_command &) = default;
};

/// What a member reports about itself.
struct member_report {
  std::string Id;
  std::string Incarnation;
  std::string DataCentre;
  /// Empty if the instances are not grouped in regions.
  std::string Region;
  /// IP:PORT for callers.
  std::string Address;
  /// IP:PORT for other instances; empty if it accepts nothing from them.
  std::string RpcAddress;
  bool Stopping = false;

  friend auto operator<=>(const member_report &,
                          const member_report &) = default;
};

/// Adds a member or updates its report.
struct member_report_command {
  member_report Report;

  friend auto operator<=>(const member_report_command &,
                          const member_report_command &) = default;
};

/// Removes a member that left or whose lease expired. Ignored if another
/// incarnation of the member has joined since.
struct member_expired_command {
  std::string Id;
  std::string Incarnation;

  friend auto operator<=>(const member_expired_command &,
                          const member_expired_command &) = default;
};

/// Claims an idempotency key. The holder is built by claims::makeHolder() and
/// must belong to a current member.
struct claim_command {
  claims::claim_request Request;

  friend auto operator<=>(const claim_command &,
                          const claim_command &) = default;
};

/// Ends a claim.
struct settle_claim_command {
  claims::claim_request Request;
  claims::claim_end End = claims::claim_end::Unknown;
  std::optional<claims::recorded_answer> Answer;

  friend auto operator<=>(const settle_claim_command &,
                          const settle_claim_command &) = default;
};

/// Reports that a target crashed while it processed a request.
struct crash_command {
  std::string Fingerprint;
  std::string Target;
  std::string Incarnation;

  friend auto operator<=>(const crash_command &,
                          const crash_command &) = default;
};

/// Reports that a target answered a request, so the request did not cause the
/// crashes before.
struct request_answered_command {
  std::string Fingerprint;
  /// Time from the answer to this command.
  std::int64_t AgeMs = 0;

  friend auto operator<=>(const request_answered_command &,
                          const request_answered_command &) = default;
};

/// Advances the replicated clock and drops expired data.
struct advance_clock_command {
  friend auto operator<=>(const advance_clock_command &,
                          const advance_clock_command &) = default;
};

/// Replaces the routing plan. Ignored unless its version is higher than the
/// current one.
struct plan_command {
  std::uint64_t Version = 0;
  /// Encoded by fleet::encodePlan().
  std::string Plan;
  /// The document as sent by the operator, who may read it back.
  std::string Document;

  friend auto operator<=>(const plan_command &, const plan_command &) = default;
};

/// Adds a target or updates its report.
struct target_report_command {
  fleet::target_report Report;

  friend auto operator<=>(const target_report_command &,
                          const target_report_command &) = default;
};

/// Marks a target as left. Later reports of the same run are ignored.
struct target_left_command {
  std::string Id;
  /// Start of the run that left; 0 means the current run. Ignored if a later
  /// run has reported.
  std::int64_t StartedAtMs = 0;

  friend auto operator<=>(const target_left_command &,
                          const target_left_command &) = default;
};

/// Removes a target that has not reported for too long. Its next report adds it
/// again. Ignored if the latest report is not the one named here.
struct target_expired_command {
  std::string Id;
  std::int64_t StartedAtMs = 0;
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const target_expired_command &,
                          const target_expired_command &) = default;
};

/// The index of an alternative is part of the encoding.
using command_body =
    std::variant<edit_command, data_centre_command, member_report_command,
                 member_expired_command, claim_command, settle_claim_command,
                 crash_command, advance_clock_command, plan_command,
                 target_report_command, target_left_command,
                 target_expired_command, request_answered_command>;

struct command {
  /// Wall clock of the leader. The replicated clock follows it, but never goes
  /// back and advances by at most MaxClockStepMs per command.
  std::int64_t WallMs = 0;
  command_body Body;

  friend auto operator<=>(const command &, const command &) = default;
};

std::string encodeCommand(const command &Command);
/// Fails with BadRequest on malformed bytes.
base::result<command> decodeCommand(std::string_view Bytes);

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_COMMANDS_H
