// Start, flushes of the log, calls and announcements of a control instance.

#include "fulmar/controlnode/controlnode.h"

#include "fulmar/telemetry/log.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace fulmar::controlnode {

namespace {

/// The time-outs are short because entries that restart together with the
/// control plane have no data until there is a leader. Three heartbeats fit
/// into the shortest election timeout, and a heartbeat interval is about 100
/// round trips between neighbouring data centres.
constexpr auto LogHeartbeatInterval = std::chrono::milliseconds(100);
constexpr auto LogElectionTimeoutMin = std::chrono::milliseconds(300);
constexpr auto LogElectionTimeoutMax = std::chrono::milliseconds(600);
/// Instances that start together are connected within tens of milliseconds.
constexpr auto LogInitialElectionTimeoutMax = std::chrono::milliseconds(240);
/// A quarter of the heartbeat interval, as replicated_log::tick() requires.
constexpr auto TickInterval = std::chrono::milliseconds(25);
/// Three announcements fit into the time after which a silent peer reconnects.
constexpr auto AnnounceInterval = std::chrono::milliseconds(400);
/// Minimum time between announcements of changes: a tenth of the shortest time
/// in which a change must take effect. Limits the load on each entry to a few
/// announcements per second while hundreds of targets change.
constexpr base::duration ChangeAnnounceInterval =
    std::chrono::milliseconds(200);
/// With an older quorum proof the state may be out of date.
constexpr base::duration MaxFreshProofAge = std::chrono::seconds(1);
/// Minimum time between flushes of the log, equal to several disk syncs.
/// Proposals that arrive in between are committed in one batch, with one
/// message to each voter.
constexpr base::duration MinFlushInterval = std::chrono::milliseconds(5);
/// Interval at which an instance that is not a member asks to join. The leader
/// adds one instance at a time, which takes several round trips and disk syncs.
constexpr auto JoinInterval = std::chrono::milliseconds(100);
constexpr auto MaintenanceInterval = std::chrono::milliseconds(500);
/// If no voter takes over within this time, the next leader is found by an
/// election.
constexpr auto LeadershipTransferTimeout = std::chrono::milliseconds(1'500);

consensus::replicated_log_options
logOptions(const control_node_options &Options) {
  consensus::replicated_log_options Log{.Folder = Options.DataFolder};
  Log.Replica.Id = Options.LinkAddress;
  const auto &Seeds = Options.Seeds;
  const bool IsSeed =
      std::find(Seeds.begin(), Seeds.end(), Options.LinkAddress) != Seeds.end();
  Log.Replica.Bootstrap = Options.Bootstrap && IsSeed;
  Log.Replica.InitialVoters = Seeds;
  Log.Replica.HeartbeatInterval = LogHeartbeatInterval;
  Log.Replica.ElectionTimeoutMin = LogElectionTimeoutMin;
  Log.Replica.ElectionTimeoutMax = LogElectionTimeoutMax;
  Log.Replica.InitialElectionTimeoutMax = LogInitialElectionTimeoutMax;
  std::random_device Device;
  Log.Replica.Seed = (std::uint64_t(Device()) << 32U) | Device();
  return Log;
}

} // namespace

control_node::control_node(eventloop::loop &OwningLoop,
                           control_node_options Chosen,
                           telemetry::metrics &Registry)
    : Loop(OwningLoop), Options(std::move(Chosen)), Metrics(Registry),
      Server(Loop), Voters(Options.Voters), TickTimer(Loop), FlushTimer(Loop),
      ChangeAnnounceTimer(Loop), AnnounceTimer(Loop), MaintenanceTimer(Loop),
      JoinTimer(Loop), TransferTimer(Loop) {
  State.setAccountsReader(Options.ReadAccounts);
}

control_node::~control_node() {
  for (const auto &[Raw, Held] : AcceptedLinks)
    Held.Link->close();
}

base::result<void> control_node::start() {
  BOOST_OUTCOME_TRY(Opened, consensus::replicated_log::open(
                                logOptions(Options), Files, State, Loop.now()));
  Log = std::move(Opened);
  const std::string &Listen = Options.LinkListenAddress.empty()
                                  ? Options.LinkAddress
                                  : Options.LinkListenAddress;
  BOOST_OUTCOME_TRYV(Server.start(
      Listen, [this](const link_ptr &Link) { onLinkAccepted(Link); }));
  addSeeds(Options.Seeds);
  TickTimer.every(TickInterval, [this] { tick(); });
  AnnounceTimer.every(AnnounceInterval, [this] { announce(); });
  MaintenanceTimer.every(MaintenanceInterval, [this] { performMaintenance(); });
  JoinTimer.every(JoinInterval, [this] { requestMembership(); });
  const consensus::log_status Status = Log->status(Loop.now());
  telemetry::logChange(telemetry::log_level::Info, "control", "log-opened",
                       {{"applied", std::to_string(Status.Applied)},
                        {"last", std::to_string(Status.LastIndex)},
                        {"plan", std::to_string(State.plan().version())},
                        {"storage", Status.StorageId}});
  scheduleFlush();
  return base::success();
}

void control_node::transferLeadership(std::function<void()> Done) {
  OnTransferDone = std::move(Done);
  const bool Started =
      IsLeader && Log->transferLeadership("", Loop.now()).has_value();
  scheduleFlush();
  TransferTimer.after(Started ? base::duration(LeadershipTransferTimeout)
                              : base::duration(),
                      [this] {
                        if (const auto Call = std::exchange(OnTransferDone, {}))
                          Call();
                      });
}

void control_node::addSeeds(const std::vector<std::string> &Seeds) {
  for (const std::string &Seed : Seeds)
    dial(Seed);
}

void control_node::recordTargetReport(const std::string &Id) {
  Liveness.recordTargetReport(Id, Loop.now());
}

void control_node::recordTurn() {
  const auto Stall = Stalls.recordTurn(Loop.now());
  if (!Stall)
    return;
  Liveness.recordStall(Loop.now());
  Metrics.counterOf("fulmar_control_stalls_total").add();
  telemetry::logChange(
      telemetry::log_level::Warning, "control", "stalled",
      {{"ms", std::to_string(
                  std::chrono::duration_cast<std::chrono::milliseconds>(*Stall)
                      .count())},
       {"role", IsLeader ? "leader" : "follower"},
       {"pending_calls", std::to_string(Calls.size())}});
}

void control_node::logDataCentreChanges() {
  for (const auto &[Name, Held] : State.dataCentres().states()) {
    std::uint64_t &Logged = LoggedSerials[Name];
    if (std::exchange(Logged, Held.Serial) != Held.Serial)
      telemetry::logChange(telemetry::log_level::Info, "control",
                           "data-centre-changed",
                           {{"data_centre", Name},
                            {"state", Held.InService ? "in" : "out"},
                            {"serial", std::to_string(Held.Serial)},
                            {"operation", Held.OperationId},
                            {"author", Held.Author}});
  }
}

void control_node::tick() {
  recordTurn();
  Log->tick(Loop.now());
  flush();
  runHandlers(Calls.expire(Loop.now()));
  resumeOrders();
  attemptDueCalls();
}

void control_node::scheduleFlush() {
  if (FlushScheduled)
    return;
  FlushScheduled = true;
  const base::duration Since = Loop.now() - FlushedAt;
  if (Since < MinFlushInterval)
    return FlushTimer.after(MinFlushInterval - Since, [this] { flush(); });
  Loop.post([this, Token = std::weak_ptr(LifetimeToken)] {
    if (!Token.expired())
      flush();
  });
}

void control_node::flush() {
  FlushScheduled = false;
  FlushTimer.cancel();
  FlushedAt = Loop.now();
  consensus::flush_result Outputs = Log->flush(Loop.now());
  if (Outputs.Fatal)
    return fail(*Outputs.Fatal);
  for (consensus::outgoing_message &Message : Outputs.Messages) {
    dial(Message.To);
    sendTo(Message.To, fleetlink::log_message{Options.LinkAddress,
                                              std::move(Message.Bytes)});
  }
  logDataCentreChanges();
  for (const consensus::role_change &Change : Outputs.RoleChanges)
    onRoleChange(Change);
  for (const consensus::completion &Completion : Outputs.Completions)
    onCompletion(Completion);
  resumeOrders();
  // Announce the first fresh proof immediately: entries that have just started
  // wait for it.
  if (hasFreshProof() && !AnnouncedFreshProof)
    announce();
  else if (State.published().latest() != AnnouncedSerial)
    scheduleAnnouncement();
}

bool control_node::hasFreshProof() const {
  const auto Age = Log->proofAge(Loop.now());
  return Age && *Age <= MaxFreshProofAge;
}

void control_node::scheduleAnnouncement() {
  const base::duration Since = Loop.now() - AnnouncedAt;
  if (Since >= ChangeAnnounceInterval)
    return announce();
  if (std::exchange(AnnounceScheduled, true))
    return;
  ChangeAnnounceTimer.after(ChangeAnnounceInterval - Since,
                            [this] { announce(); });
}

const std::string &control_node::changesSince(publication::serial Since) {
  const publication::serial Latest = State.published().latest();
  if (EncodedSerial != Latest)
    EncodedChanges.clear();
  EncodedSerial = Latest;
  const auto [Place, New] = EncodedChanges.try_emplace(Since);
  if (New)
    Place->second = fleetlink::encodeLinkMessage(
        fleetlink::fetch_reply{State.published().changesSince(Since)});
  return Place->second;
}

void control_node::onRoleChange(const consensus::role_change &Change) {
  const bool LeadsNow = Change.Role == consensus::role::Leader;
  if (LeadsNow && !IsLeader) {
    Liveness.becomeLeader(Loop.now());
    Voters.becomeLeader(Loop.now());
    Allotments.begin(Loop.now());
    LeaderTerm = Change.Term;
  }
  IsLeader = LeadsNow;
  Leader = Change.Leader;
  telemetry::logChange(telemetry::log_level::Info, "control", "role-changed",
                       {{"role", consensus::nameOf(Change.Role)},
                        {"term", std::to_string(Change.Term)},
                        {"leader", Change.Leader}});
  Metrics.gaugeOf("fulmar_control_is_leader").set(IsLeader ? 1 : 0);
  if (!Leader.empty())
    Calls.retryAll(Loop.now());
  if (!IsLeader && OnTransferDone) {
    TransferTimer.cancel();
    Loop.post(std::exchange(OnTransferDone, {}));
  }
}

std::vector<std::string> control_node::memberAddresses() const {
  std::vector<std::string> Addresses;
  const consensus::configuration Members = Log->status(Loop.now()).Members;
  for (const auto *Held : {&Members.Voters, &Members.Learners}) {
    for (const consensus::member &Member : *Held)
      Addresses.push_back(Member.Id);
  }
  return Addresses;
}

fleetlink::log_position control_node::logPosition() const {
  const auto Age = Log->proofAge(Loop.now());
  return {.Latest = State.published().latest(),
          .ProofAgeMs =
              Age ? std::chrono::duration_cast<std::chrono::milliseconds>(*Age)
                        .count()
                  : -1};
}

void control_node::announce() {
  AnnouncedSerial = State.published().latest();
  AnnouncedAt = Loop.now();
  AnnouncedFreshProof = hasFreshProof();
  AnnounceScheduled = false;
  ChangeAnnounceTimer.cancel();
  std::string Notices[3] = {fleetlink::encodeLinkMessage(logPosition())};
  updateAllotments();
  if (holdsAllotments() && !Allotments.empty())
    Notices[2] = fleetlink::encodeLinkMessage(
        fleetlink::allotment_holder{.Term = LeaderTerm});
  if (std::vector<std::string> Members = memberAddresses();
      Members != AnnouncedMembers) {
    Notices[1] = fleetlink::encodeLinkMessage(
        fleetlink::control_plane_members{Options.DataCentre, Members});
    AnnouncedMembers = std::move(Members);
  }
  // Copy the links, because sending may close a link and erase it from the map.
  std::vector<link_ptr> Links;
  for (const auto &[Raw, Held] : AcceptedLinks)
    Links.push_back(Held.Link);
  for (const link_ptr &Link : Links) {
    for (const std::string &Notice : Notices) {
      if (!Notice.empty())
        Link->send(Notice);
    }
  }
}

void control_node::performMaintenance() {
  Metrics.gaugeOf("fulmar_control_journal_bytes")
      .set(static_cast<std::int64_t>(Log->journalBytes()));
  Metrics.gaugeOf("fulmar_control_plan_version")
      .set(static_cast<std::int64_t>(State.plan().version()));
  const std::size_t VoterCount = Log->status(Loop.now()).Members.Voters.size();
  Metrics.gaugeOf("fulmar_control_voters")
      .set(static_cast<std::int64_t>(VoterCount));
  Metrics.gaugeOf("fulmar_control_survivable_disk_losses")
      .set(static_cast<std::int64_t>(
          consensus::survivableDiskLosses(VoterCount)));
  if (!IsLeader) {
    auto Heard = Liveness.takeReportedTargets();
    if (!Heard.empty())
      sendTo(Leader, fleetlink::target_liveness{std::move(Heard)});
    return;
  }
  removeSilentVoter();
  for (controlstate::command_body &Body :
       Liveness.dueCommands(State, Loop.now()))
    proposeInBackground(std::move(Body));
}

void control_node::fail(const base::error &Cause) {
  telemetry::logChange(telemetry::log_level::Error, "control", "log-failed",
                       {{"error", Cause.Message}});
  Failed = true;
  Loop.stop();
}

} // namespace fulmar::controlnode
