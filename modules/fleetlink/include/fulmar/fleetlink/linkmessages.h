// The messages on the kept connections between entries and control instances,
// and between control instances: one msgpack value a frame, compressed where
// it is long.
//
// A control instance announces how far it has applied the log (log_notice);
// whoever lacks something asks one of them for it (fetch_request). So every
// entry hears of a change from each control instance that it reaches, and
// receives the content once.

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

/// An entry tells what it is, regularly and after each change.
struct entry_notice {
  controlstate::member_report Report;
  /// Callers may be sent here.
  bool Ready = false;

  friend auto operator<=>(const entry_notice &, const entry_notice &) = default;
};

/// An entry lives, and its last notice holds.
struct entry_alive {
  friend auto operator<=>(const entry_alive &, const entry_alive &) = default;
};

/// Asks for the published items that changed behind a serial.
struct fetch_request {
  publication::serial Since = 0;

  friend auto operator<=>(const fetch_request &,
                          const fetch_request &) = default;
};

struct fetch_reply {
  publication::changes Changes;

  friend auto operator<=>(const fetch_reply &, const fetch_reply &) = default;
};

/// A control instance tells how far it is, regularly and after each change.
struct log_notice {
  publication::serial Latest = 0;
  /// Age of the newest proof that a quorum stood behind this state; negative
  /// when there is none.
  std::int64_t ProofAgeMs = -1;

  friend auto operator<=>(const log_notice &, const log_notice &) = default;
};

/// Who belongs to the control plane, at the start of a link and after each
/// change.
struct control_notice {
  /// Where the sender runs.
  std::string DataCentre;
  /// Link addresses of the control instances.
  std::vector<std::string> Controls;

  friend auto operator<=>(const control_notice &,
                          const control_notice &) = default;
};

/// A target crashed while it ran a request. Repeated until it is confirmed.
struct crash_notice {
  /// The sender's own number.
  std::uint64_t Id = 0;
  controlstate::crash_command Crash;

  friend auto operator<=>(const crash_notice &, const crash_notice &) = default;
};

/// A target answered a request that is in quarantine. Repeated until it is
/// confirmed.
struct answered_notice {
  /// The sender's own number, from the same count as those of crashes.
  std::uint64_t Id = 0;
  controlstate::request_answered_command Answer;

  friend auto operator<=>(const answered_notice &,
                          const answered_notice &) = default;
};

/// What was told under this number is in the log.
struct crash_receipt {
  std::uint64_t Id = 0;

  friend auto operator<=>(const crash_receipt &,
                          const crash_receipt &) = default;
};

/// A message of the replicated log.
struct log_message {
  std::string From;
  std::string Bytes;

  friend auto operator<=>(const log_message &, const log_message &) = default;
};

/// A control instance without a place in the log asks for one.
struct join_request {
  std::string Id;

  friend auto operator<=>(const join_request &, const join_request &) = default;
};

enum class leader_call : std::uint8_t {
  Propose,
  /// Answered with the document in force, once a quorum has confirmed it.
  ReadDocument,
};

/// An instance that does not lead passes a call on.
struct call_request {
  std::string From;
  std::uint64_t Id = 0;
  leader_call Call = leader_call::Propose;
  /// Written by controlstate::encodeCommand().
  std::string Command;

  friend auto operator<=>(const call_request &, const call_request &) = default;
};

struct call_reply {
  std::uint64_t Id = 0;
  /// Done, or why not. Nothing was accepted on NotLeader and StorageFull.
  bool Succeeded = false;
  std::uint32_t ErrorKind = 0;
  std::string Message;
  /// Encoded reply of the state, or the document.
  std::string Reply;

  friend auto operator<=>(const call_reply &, const call_reply &) = default;
};

/// Targets that reported lately to an instance that does not lead.
struct liveness_notice {
  std::vector<std::string> Targets;

  friend auto operator<=>(const liveness_notice &,
                          const liveness_notice &) = default;
};

using link_message =
    std::variant<entry_notice, fetch_request, fetch_reply, log_notice,
                 crash_notice, log_message, join_request, call_request,
                 call_reply, liveness_notice, entry_alive, control_notice,
                 crash_receipt, answered_notice>;

std::string encodeLink(const link_message &Message);
/// Fails with BadRequest on malformed bytes.
base::result<link_message> decodeLink(std::string_view Bytes);

} // namespace fulmar::fleetlink

#endif // FULMAR_FLEETLINK_LINKMESSAGES_H
