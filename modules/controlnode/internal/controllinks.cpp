// The links of a control instance and the handling of their messages.

#include "fulmar/controlnode/controlnode.h"

#include "fulmar/telemetry/log.h"

#include <algorithm>

namespace fulmar::controlnode {

namespace {

/// A peer with an older quorum proof may report outdated members.
constexpr std::int64_t MaxFreshProofAgeMs = 1'000;
/// Longer than an election and a commit take together.
constexpr auto CrashCallTimeout = std::chrono::seconds(2);

/// Logs a crash report. \p Counted is null if the report was not committed.
void logCrash(const controlstate::crash_command &Crash,
              const controlstate::crash_reply *Counted,
              const std::string &Error) {
  telemetry::logChange(
      Counted != nullptr ? telemetry::log_level::Info
                         : telemetry::log_level::Warning,
      "control", Counted != nullptr ? "crash-counted" : "crash-not-counted",
      {{"fingerprint", Crash.Fingerprint},
       {"target", Crash.Target},
       {"run", Crash.Incarnation},
       {"crashes", Counted != nullptr ? std::to_string(Counted->Crashes) : ""},
       {"quarantined",
        Counted != nullptr && Counted->Quarantined ? "yes" : "no"},
       {"error", Error}});
}

} // namespace

void control_node::onLinkAccepted(const link_ptr &Link) {
  AcceptedLinks[Link.get()] = {Link, {}};
  Link->start(
      [this, Raw = Link.get()](std::string_view Frame) {
        const auto Found = AcceptedLinks.find(Raw);
        if (Found != AcceptedLinks.end())
          onAcceptedFrame(Found->second.Link, Frame);
      },
      [this, Raw = Link.get()] {
        const auto Found = AcceptedLinks.find(Raw);
        if (Found == AcceptedLinks.end())
          return;
        if (!Found->second.EntryId.empty())
          Liveness.recordEntryDisconnect(Found->second.EntryId);
        AcceptedLinks.erase(Found);
      });
  Link->send(fleetlink::encodeLinkMessage(
      fleetlink::control_plane_members{Options.DataCentre, memberAddresses()}));
  Link->send(fleetlink::encodeLinkMessage(logPosition()));
  Link->send(fleetlink::encodeLinkMessage(fleetlink::capabilities{}));
}

void control_node::onAcceptedFrame(const link_ptr &Link,
                                   std::string_view Frame) {
  const auto Message = fleetlink::decodeLinkMessage(Frame);
  if (!Message) {
    telemetry::logChange(telemetry::log_level::Warning, "control",
                         "link-malformed",
                         {{"error", Message.error().Message}});
    return Link->close();
  }
  std::visit([&](const auto &Body) { handle(Link, Body); }, Message.value());
}

void control_node::onDialedFrame(const std::string &Peer,
                                 std::string_view Frame) {
  const auto Message = fleetlink::decodeLinkMessage(Frame);
  if (!Message)
    return;
  Voters.recordContact(Peer, Loop.now());
  std::vector<std::string> &Listed = MembersReportedBy[Peer];
  if (const auto *Members =
          std::get_if<fleetlink::control_plane_members>(&Message.value())) {
    Listed = Members->Controls;
    for (const std::string &Address : Listed)
      dial(Address);
  }
  const auto *Notice = std::get_if<fleetlink::log_position>(&Message.value());
  const bool Fresh = Notice != nullptr && Notice->ProofAgeMs >= 0 &&
                     Notice->ProofAgeMs <= MaxFreshProofAgeMs;
  if (Fresh)
    MissingInPeerMembers = std::find(Listed.begin(), Listed.end(),
                                     Options.LinkAddress) == Listed.end();
}

void control_node::handle(const link_ptr &Link,
                          const fleetlink::entry_status &Notice) {
  accepted_link &Held = AcceptedLinks[Link.get()];
  if (Held.EntryId.empty())
    telemetry::logChange(telemetry::log_level::Info, "control",
                         "entry-connected", {{"entry", Notice.Report.Id}});
  Held.EntryId = Notice.Report.Id;
  Liveness.recordEntryStatus(Notice, Loop.now());
}

void control_node::handle(const link_ptr &Link,
                          const fleetlink::entry_heartbeat & /*Alive*/) {
  Liveness.recordEntryHeartbeat(AcceptedLinks[Link.get()].EntryId, Loop.now());
}

void control_node::handle(const link_ptr &Link,
                          const fleetlink::fetch_request &Request) {
  Link->send(changesSince(Request.Since));
}

void control_node::handle(const link_ptr &Link,
                          const fleetlink::proof_request &Request) {
  // Read as one, so that the proof covers the serial.
  const fleetlink::log_position Position = logPosition();
  Link->send(fleetlink::encodeLinkMessage(
      fleetlink::proof_reply{.Nonce = Request.Nonce,
                             .Latest = Position.Latest,
                             .ProofAgeMs = Position.ProofAgeMs}));
}

void control_node::handle(const link_ptr &Link,
                          const fleetlink::crash_notification &Notice) {
  propose(Notice.Crash, CrashCallTimeout,
          [Link, Notice](const base::result<controlstate::reply> &Reply) {
            const auto *Counted =
                Reply ? std::get_if<controlstate::crash_reply>(&Reply.value())
                      : nullptr;
            logCrash(Notice.Crash, Counted, Reply ? "" : Reply.error().Message);
            if (Counted != nullptr)
              Link->send(fleetlink::encodeLinkMessage(
                  fleetlink::notification_ack{Notice.Id}));
          });
}

void control_node::handle(const link_ptr &Link,
                          const fleetlink::answer_notification &Notice) {
  propose(Notice.Answer, CrashCallTimeout,
          [Link, Notice](const base::result<controlstate::reply> &Reply) {
            telemetry::logChange(
                telemetry::log_level::Info, "control", "crash-answered",
                {{"fingerprint", Notice.Answer.Fingerprint},
                 {"age_ms", std::to_string(Notice.Answer.AgeMs)},
                 {"error", Reply ? "" : Reply.error().Message}});
            if (Reply)
              Link->send(fleetlink::encodeLinkMessage(
                  fleetlink::notification_ack{Notice.Id}));
          });
}

void control_node::handle(const link_ptr & /*Link*/,
                          const fleetlink::log_message &Message) {
  Voters.recordContact(Message.From, Loop.now());
  PeerStalls[Message.From].recordTurn(Loop.now());
  Log->deliver(Message.From, Message.Bytes, Loop.now());
  dial(Message.From);
  scheduleFlush();
}

void control_node::handle(const link_ptr & /*Link*/,
                          const fleetlink::join_request &Request) {
  dial(Request.Id);
  if (!IsLeader)
    return;
  const base::instant Now = Loop.now();
  const auto Change = Voters.changeForJoinRequest(
      Request.Id, Log->status(Now).Members, Options.LinkAddress, Now);
  if (Change)
    changeVoters(*Change, Request.Id);
}

void control_node::handle(const link_ptr & /*Link*/,
                          const fleetlink::call_request &Request) {
  PeerStalls[Request.From].recordTurn(Loop.now());
  if (refusesOldOrder(Request))
    return;
  executeLocally(
      Request.Call, Request.Command,
      [this, From = Request.From, Id = Request.Id](const call_result &Result) {
        fleetlink::call_reply Reply{.Id = Id, .Succeeded = Result.has_value()};
        if (Result) {
          Reply.Reply = Result.value();
        } else {
          Reply.ErrorKind = static_cast<std::uint32_t>(Result.error().Kind);
          Reply.Message = Result.error().Message;
        }
        sendTo(From, std::move(Reply));
      });
}

void control_node::handle(const link_ptr & /*Link*/,
                          const fleetlink::call_reply &Reply) {
  if (Reply.Succeeded)
    return runHandlers(Calls.finish(Reply.Id, Reply.Reply));
  Calls.postpone(Reply.Id, Loop.now());
}

void control_node::handle(const link_ptr & /*Link*/,
                          const fleetlink::target_liveness &Notice) {
  for (const std::string &Id : Notice.Targets)
    Liveness.recordTargetReport(Id, Loop.now());
}

void control_node::dial(const std::string &Address) {
  if (Address.empty() || Address == Options.LinkAddress ||
      Dialers.contains(Address))
    return;
  Dialers[Address] = std::make_unique<eventloop::frame_dialer>(
      Loop, eventloop::frame_dialer::options{.Address = Address},
      eventloop::frame_dialer::handlers{
          .Connected =
              [this, Address] {
                telemetry::logChange(telemetry::log_level::Info, "control",
                                     "peer-connected", {{"peer", Address}});
                Calls.retryAll(Loop.now());
              },
          .Frame =
              [this, Address](std::string_view Frame) {
                onDialedFrame(Address, Frame);
              },
          .Lost =
              [this, Address] {
                telemetry::logChange(telemetry::log_level::Warning, "control",
                                     "peer-lost", {{"peer", Address}});
              }});
}

void control_node::sendTo(const std::string &Peer,
                          const fleetlink::link_message &Message) {
  const auto Found = Dialers.find(Peer);
  if (Found != Dialers.end())
    Found->second->send(fleetlink::encodeLinkMessage(Message));
}

} // namespace fulmar::controlnode
