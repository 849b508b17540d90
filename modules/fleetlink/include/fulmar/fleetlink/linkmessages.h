// Messages on the persistent connections between entries and control instances,
// and between control instances. Each frame holds one msgpack value; long
// messages are compressed.
//
// A control instance announces the log position it has applied (log_position).
// A receiver that is behind requests the missing items from one of the control
// instances (fetch_request). Every entry thus learns of a change from each
// control instance it is connected to, but transfers the content only once.

#ifndef FULMAR_FLEETLINK_LINKMESSAGES_H
#define FULMAR_FLEETLINK_LINKMESSAGES_H

#include "fulmar/base/result.h"
#include "fulmar/controlstate/commands.h"
#include "fulmar/publication/publisheditems.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fulmar::fleetlink {

/// Status of an entry, sent periodically and after each change.
struct entry_status {
  controlstate::member_report Report;
  /// The entry accepts requests from callers.
  bool Ready = false;

  friend auto operator<=>(const entry_status &, const entry_status &) = default;
};

/// The entry is alive and its last entry_status still applies.
struct entry_heartbeat {
  friend auto operator<=>(const entry_heartbeat &,
                          const entry_heartbeat &) = default;
};

/// Requests the published items that changed after serial Since.
struct fetch_request {
  publication::serial Since = 0;

  friend auto operator<=>(const fetch_request &,
                          const fetch_request &) = default;
};

struct fetch_reply {
  publication::changes Changes;

  friend auto operator<=>(const fetch_reply &, const fetch_reply &) = default;
};

/// State of a control instance, sent periodically and after each change.
struct log_position {
  publication::serial Latest = 0;
  /// Time since a quorum last confirmed this state; negative if it never did.
  std::int64_t ProofAgeMs = -1;

  friend auto operator<=>(const log_position &, const log_position &) = default;
};

/// The control instances, sent when a link is established and after each
/// change.
struct control_plane_members {
  /// Data centre of the sender.
  std::string DataCentre;
  /// Link addresses of the control instances.
  std::vector<std::string> Controls;

  friend auto operator<=>(const control_plane_members &,
                          const control_plane_members &) = default;
};

/// A target crashed while it executed a request. Resent until acknowledged.
struct crash_notification {
  /// Assigned by the sender.
  std::uint64_t Id = 0;
  controlstate::crash_command Crash;

  friend auto operator<=>(const crash_notification &,
                          const crash_notification &) = default;
};

/// A target answered a quarantined request. Resent until acknowledged.
struct answer_notification {
  /// Assigned by the sender, from the same sequence as the ids of
  /// crash_notification.
  std::uint64_t Id = 0;
  controlstate::request_answered_command Answer;

  friend auto operator<=>(const answer_notification &,
                          const answer_notification &) = default;
};

/// The crash_notification or answer_notification with this id is in the log.
struct notification_ack {
  std::uint64_t Id = 0;

  friend auto operator<=>(const notification_ack &,
                          const notification_ack &) = default;
};

/// A message of the replicated log's consensus protocol.
struct log_message {
  std::string From;
  std::string Bytes;

  friend auto operator<=>(const log_message &, const log_message &) = default;
};

/// A control instance that is not a member of the replicated log asks to join.
struct join_request {
  std::string Id;

  friend auto operator<=>(const join_request &, const join_request &) = default;
};

enum class leader_call : std::uint8_t {
  Propose,
  /// Returns the active document once a quorum has confirmed it.
  ReadDocument,
};

/// A call that a non-leader forwards to the leader.
struct call_request {
  std::string From;
  std::uint64_t Id = 0;
  leader_call Call = leader_call::Propose;
  /// Encoded by controlstate::encodeCommand().
  std::string Command;

  friend auto operator<=>(const call_request &, const call_request &) = default;
};

struct call_reply {
  std::uint64_t Id = 0;
  /// If false, ErrorKind and Message give the reason. After NotLeader and
  /// StorageFull, the command has not been accepted.
  bool Succeeded = false;
  std::uint32_t ErrorKind = 0;
  std::string Message;
  /// The encoded reply of the state machine, or the document.
  std::string Reply;

  friend auto operator<=>(const call_reply &, const call_reply &) = default;
};

/// Targets that recently reported to a non-leader.
struct target_liveness {
  std::vector<std::string> Targets;

  friend auto operator<=>(const target_liveness &,
                          const target_liveness &) = default;
};

/// Sent by a control instance when it accepts a link. An entry sends the
/// messages below only on links on which it has received this one: earlier
/// versions close a link on which they receive an unknown message.
struct capabilities {
  std::uint32_t Level = 1;

  friend auto operator<=>(const capabilities &, const capabilities &) = default;
};

/// Asks a control instance how recent its state is.
struct proof_request {
  /// Assigned by the sender, which remembers when it sent the request.
  std::uint64_t Nonce = 0;

  friend auto operator<=>(const proof_request &,
                          const proof_request &) = default;
};

struct proof_reply {
  std::uint64_t Nonce = 0;
  publication::serial Latest = 0;
  /// Time since a quorum last confirmed this state; negative if it never did.
  std::int64_t ProofAgeMs = -1;

  friend auto operator<=>(const proof_reply &, const proof_reply &) = default;
};

/// The sender grants the quotas of accounts for now.
struct allotment_holder {
  /// Higher terms replace lower ones.
  std::uint64_t Term = 0;

  friend auto operator<=>(const allotment_holder &,
                          const allotment_holder &) = default;
};

struct allotment_demand {
  std::string Account;
  std::uint32_t Count = 0;

  friend auto operator<=>(const allotment_demand &,
                          const allotment_demand &) = default;
};

/// Asks the holder for tokens.
struct allotment_request {
  /// Assigned by the sender, which remembers when it sent the request.
  std::uint64_t Id = 0;
  std::vector<allotment_demand> Demands;

  friend auto operator<=>(const allotment_request &,
                          const allotment_request &) = default;
};

struct allotment_grant {
  std::string Account;
  /// At most the count of the demand.
  std::uint32_t Granted = 0;
  /// Time until the next token; meaningful if less was granted than asked.
  std::int64_t RetryAfterMs = 0;
  /// The holder has started so lately that it may refuse what is owed.
  bool Starting = false;

  friend auto operator<=>(const allotment_grant &,
                          const allotment_grant &) = default;
};

struct allotment_reply {
  std::uint64_t Id = 0;
  /// False if the sender is not the holder; Grants is then empty.
  bool Holder = false;
  std::vector<allotment_grant> Grants;

  friend auto operator<=>(const allotment_reply &,
                          const allotment_reply &) = default;
};

/// Requests of one route that ended at the old or the new version.
struct rollout_counts {
  std::string Route;
  bool NewVersion = false;
  std::uint32_t Requests = 0;
  std::uint32_t Failures = 0;
  std::int64_t TotalMs = 0;

  friend auto operator<=>(const rollout_counts &,
                          const rollout_counts &) = default;
};

/// What an entry has seen of a roll-out since its last report.
struct rollout_evidence {
  std::string Service;
  /// Serial of the order that started the roll-out.
  std::uint64_t Order = 0;
  /// Number of the phase that the entry applies.
  std::uint32_t Phase = 0;
  /// Requests that the entry still has at targets of the old version.
  std::uint32_t AtOldVersion = 0;
  std::vector<rollout_counts> Counts;

  friend auto operator<=>(const rollout_evidence &,
                          const rollout_evidence &) = default;
};

/// The index of an alternative is part of the encoding.
using link_message =
    std::variant<entry_status, fetch_request, fetch_reply, log_position,
                 crash_notification, log_message, join_request, call_request,
                 call_reply, target_liveness, entry_heartbeat,
                 control_plane_members, notification_ack, answer_notification,
                 capabilities, proof_request, proof_reply, allotment_holder,
                 allotment_request, allotment_reply, rollout_evidence>;

std::string encodeLinkMessage(const link_message &Message);
/// Fails with BadRequest on malformed bytes.
base::result<link_message> decodeLinkMessage(std::string_view Bytes);

} // namespace fulmar::fleetlink

#endif // FULMAR_FLEETLINK_LINKMESSAGES_H
