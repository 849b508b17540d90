// Maintains the links to the control instances and decodes what they publish.

#include "fulmar/gateway/fleetfeed.h"

#include "fulmar/base/rendezvous.h"
#include "fulmar/telemetry/log.h"

#include <algorithm>
#include <memory>
#include <tuple>
#include <utility>

namespace fulmar::gateway {

namespace {

/// Three heartbeats fit into the silence after which the control instances no
/// longer refer callers to an entry.
constexpr auto HeartbeatInterval = std::chrono::milliseconds(400);
/// Several questions fit into the time for which a key that was taken away may
/// still be accepted.
constexpr auto ProofInterval = std::chrono::milliseconds(500);
/// Instances that are asked at a time: one may be cut off or lag behind.
constexpr std::size_t InstancesAsked = 2;
constexpr auto TickInterval = std::chrono::milliseconds(100);
/// A fetch that gets no reply is repeated at any instance. The timeout doubles
/// with each fetch that times out: over a slow link a full copy takes a second,
/// and each further request would cause another copy.
constexpr base::duration InitialFetchTimeout = std::chrono::milliseconds(300);
constexpr unsigned MaxFetchDoublings = 3;
/// A starting entry sends its first fetch this long after it has heard the
/// first instance. That is a few round trips, in which it also hears the
/// instances that the first one lists.
constexpr base::duration FirstFetchDelay = std::chrono::milliseconds(15);
/// An older quorum proof says little about the current state.
constexpr std::int64_t MaxProofAgeMs = 1'000;
/// A first copy that no quorum confirms is accepted after this time. An
/// election and its first quorum proof take less if a quorum can be reached at
/// all.
constexpr base::duration MaxConfirmationWait = std::chrono::milliseconds(1'500);

} // namespace

fleet_feed::fleet_feed(eventloop::loop &OwningLoop,
                       fleet_feed_options InitialOptions,
                       view_handler ChangeHandler)
    : Loop(OwningLoop), Options(std::move(InitialOptions)),
      OnChange(std::move(ChangeHandler)), TickTimer(Loop), HeartbeatTimer(Loop),
      ProofTimer(Loop), FirstFetchTimer(Loop) {
  addSeeds(Options.Seeds);
  TickTimer.every(TickInterval, [this] { tick(); });
  HeartbeatTimer.every(HeartbeatInterval,
                       [this] { sendAll(fleetlink::entry_heartbeat{}); });
  ProofTimer.every(ProofInterval, [this] { askForProof(); });
}

void fleet_feed::addSeeds(const std::vector<std::string> &Seeds) {
  for (const std::string &Seed : Seeds)
    connect(Seed);
}

void fleet_feed::connect(const std::string &Address) {
  if (Links.contains(Address))
    return;
  Links[Address].Dialer = std::make_unique<eventloop::frame_dialer>(
      Loop, eventloop::frame_dialer::options{.Address = Address},
      eventloop::frame_dialer::handlers{
          .Connected =
              [this, Address] {
                telemetry::logChange(telemetry::log_level::Info, "feed",
                                     "control-connected",
                                     {{"control", Address}});
                announce();
              },
          .Frame = [this, Address](
                       std::string_view Frame) { onFrame(Address, Frame); },
          .Lost =
              [this, Address] {
                telemetry::logChange(telemetry::log_level::Warning, "feed",
                                     "control-lost", {{"control", Address}});
                Links[Address].Latest = 0;
                Links[Address].QuorumConfirmed = false;
                Links[Address].Capable = false;
                if (Holder == Address)
                  Holder.clear();
                // The reply to a pending fetch is lost with the link.
                if (FetchedFrom == Address)
                  FetchPending = false;
              }});
}

void fleet_feed::onFrame(const std::string &From, std::string_view Frame) {
  const auto Message = fleetlink::decodeLinkMessage(Frame);
  if (!Message) {
    telemetry::logChange(telemetry::log_level::Warning, "feed",
                         "link-malformed",
                         {{"error", Message.error().Message}});
    return;
  }
  if (const auto *Notice =
          std::get_if<fleetlink::log_position>(&Message.value()))
    handle(From, *Notice);
  else if (const auto *Members =
               std::get_if<fleetlink::control_plane_members>(&Message.value()))
    handle(From, *Members);
  else if (const auto *Reply =
               std::get_if<fleetlink::fetch_reply>(&Message.value()))
    handle(*Reply);
  else if (std::holds_alternative<fleetlink::capabilities>(Message.value()))
    Links[From].Capable = true;
  else if (const auto *Proved =
               std::get_if<fleetlink::proof_reply>(&Message.value()))
    handle(*Proved);
  else if (const auto *Grants =
               std::get_if<fleetlink::allotment_reply>(&Message.value()))
    handle(From, *Grants);
  else if (const auto *Granting =
               std::get_if<fleetlink::allotment_holder>(&Message.value()))
    handle(From, *Granting);
  else if (const auto *Receipt =
               std::get_if<fleetlink::notification_ack>(&Message.value()))
    Reports.confirm(Receipt->Id);
}

void fleet_feed::handle(const std::string &From,
                        const fleetlink::log_position &Notice) {
  control_link &Link = Links[From];
  Link.Latest = Notice.Latest;
  Link.QuorumConfirmed =
      Notice.ProofAgeMs >= 0 && Notice.ProofAgeMs <= MaxProofAgeMs;
  if (Notice.Latest > 0 && !FirstOfferAt)
    FirstOfferAt = Loop.now();
  if (Items.latest() > 0 || FetchPending)
    return fetchIfBehind(false);
  if (canBootstrapFrom(Link) && !std::exchange(FirstFetchArmed, true))
    FirstFetchTimer.after(FirstFetchDelay, [this] {
      FirstFetchArmed = false;
      fetchIfBehind(true);
    });
}

void fleet_feed::handle(const std::string &From,
                        const fleetlink::control_plane_members &Notice) {
  Links[From].DataCentre = Notice.DataCentre;
  for (const std::string &Address : Notice.Controls)
    connect(Address);
}

bool fleet_feed::canBootstrapFrom(const control_link &Link) const {
  return Link.Latest > 0 &&
         (Link.QuorumConfirmed ||
          (FirstOfferAt && Loop.now() - *FirstOfferAt >= MaxConfirmationWait));
}

void fleet_feed::fetchIfBehind(bool AnyDataCentre) {
  const base::duration Timeout =
      InitialFetchTimeout * (1U << std::min(FetchTimeouts, MaxFetchDoublings));
  if (FetchPending && Loop.now() - FetchSentAt < Timeout)
    return;
  const publication::serial Known = Items.latest();
  control_link *Best = nullptr;
  const std::string *From = nullptr;
  // Prefers the latest state, then the own data centre, then an order that
  // differs between entries: hundreds of entries that start together must not
  // all fetch from the same instance.
  using preference = std::tuple<publication::serial, bool, std::uint64_t>;
  preference BestPreference;
  for (auto &[Address, Link] : Links) {
    const bool Local = Link.DataCentre == Options.Self.DataCentre;
    const preference Preference(
        Link.Latest, Local, base::rendezvousWeight(Options.Self.Id, Address));
    const bool IsUsable = Known > 0 || canBootstrapFrom(Link);
    if (Link.Dialer->connected() && (Link.Latest > Known || NeedsFullCopy) &&
        IsUsable && (Local || AnyDataCentre || Known == 0) &&
        (Best == nullptr || Preference > BestPreference)) {
      Best = &Link;
      From = &Address;
      BestPreference = Preference;
    }
  }
  if (Best == nullptr)
    return;
  FetchTimeouts = FetchPending ? FetchTimeouts + 1 : 0;
  FetchPending = true;
  FetchedFrom = *From;
  FetchSentAt = Loop.now();
  Best->Dialer->send(fleetlink::encodeLinkMessage(
      fleetlink::fetch_request{NeedsFullCopy ? 0 : Known}));
}

void fleet_feed::handle(const fleetlink::fetch_reply &Reply) {
  FetchPending = false;
  const publication::serial Before = Items.latest();
  const auto Merged = Items.merge(Reply.Changes);
  NeedsFullCopy = !Merged;
  if (!Merged)
    telemetry::logChange(telemetry::log_level::Warning, "feed",
                         "changes-refused",
                         {{"error", Merged.error().Message}});
  if (Items.latest() != Before) {
    const bool HadAccounts = View.Accounts != nullptr;
    OnChange(View = Decoder.decode(Items));
    Proof.applied(Items.latest());
    notifyProof();
    if (View.Accounts && !HadAccounts)
      askForProof();
  }
  fetchIfBehind(false);
}

void fleet_feed::askForProof() {
  if (!OnProof || !View.Accounts || !View.Accounts->Required)
    return;
  // In its own data centre first; the others in turn, so that one instance that
  // lags behind does not decide.
  std::vector<const control_link *> Local;
  std::vector<const control_link *> Remote;
  for (const auto &[Address, Link] : Links) {
    if (Link.Capable && Link.Dialer->connected())
      (Link.DataCentre == Options.Self.DataCentre ? Local : Remote)
          .push_back(&Link);
  }
  const std::size_t Turn = ProofTurn++;
  for (std::size_t Asked = 0; Asked < InstancesAsked; ++Asked) {
    const auto &Preferred = Asked == 0 || Remote.empty() ? Local : Remote;
    const auto &Group = Preferred.empty() ? Remote : Preferred;
    if (!Group.empty())
      Group[(Turn + Asked) % Group.size()]->Dialer->send(
          fleetlink::encodeLinkMessage(
              fleetlink::proof_request{Proof.ask(Loop.now())}));
  }
}

void fleet_feed::handle(const fleetlink::proof_reply &Reply) {
  Proof.answer(Reply.Nonce, Reply.Latest,
               std::chrono::milliseconds(Reply.ProofAgeMs));
  notifyProof();
}

void fleet_feed::handle(const std::string &From,
                        const fleetlink::allotment_holder &Notice) {
  const bool Known =
      Notice.Term < HolderTerm || (Notice.Term == HolderTerm && Holder == From);
  if (Known)
    return;
  HolderTerm = Notice.Term;
  Holder = From;
  telemetry::logChange(
      telemetry::log_level::Info, "feed", "quota-holder",
      {{"control", From}, {"term", std::to_string(Notice.Term)}});
  if (OnHolderChange)
    OnHolderChange();
}

void fleet_feed::handle(const std::string &From,
                        const fleetlink::allotment_reply &Reply) {
  if (!Reply.Holder && Holder == From)
    Holder.clear();
  if (OnAllotment)
    OnAllotment(Reply);
}

void fleet_feed::askHolder(const fleetlink::allotment_request &Request) {
  if (!Holder.empty())
    Links[Holder].Dialer->send(fleetlink::encodeLinkMessage(Request));
}

void fleet_feed::notifyProof() {
  if (OnProof && Proof.provedAt())
    OnProof(*Proof.provedAt());
}

void fleet_feed::tick() {
  if (!FirstFetchArmed)
    fetchIfBehind(true);
  sendReports();
}

void fleet_feed::announce() {
  sendAll(fleetlink::entry_status{.Report = Options.Self, .Ready = Ready});
}

void fleet_feed::sendAll(const fleetlink::link_message &Message) {
  const std::string Bytes = fleetlink::encodeLinkMessage(Message);
  for (auto &[Address, Link] : Links)
    Link.Dialer->send(Bytes);
}

void fleet_feed::setReady(bool IsReady) {
  if (std::exchange(Ready, IsReady) != IsReady)
    announce();
}

void fleet_feed::reportCrash(const controlstate::crash_command &Crash) {
  Reports.add(Crash, Loop.now());
  sendReports();
}

void fleet_feed::reportAnsweredRequest(const std::string &Fingerprint,
                                       base::instant AnsweredAt) {
  Reports.addAnsweredRequest(Fingerprint, AnsweredAt, Loop.now());
  sendReports();
}

void fleet_feed::sendReports() {
  std::vector<std::string> Connected;
  for (const auto &[Address, Link] : Links) {
    if (Link.Dialer->connected())
      Connected.push_back(Address);
  }
  for (const due_report &Due : Reports.takeDue(Connected, Loop.now()))
    Links[Due.Address].Dialer->send(fleetlink::encodeLinkMessage(Due.Message));
}

} // namespace fulmar::gateway
