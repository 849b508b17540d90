// A control instance on an event loop: the replicated log with its state
// machine, and the links to other control instances and to entries.

#ifndef FULMAR_CONTROLNODE_CONTROLNODE_H
#define FULMAR_CONTROLNODE_CONTROLNODE_H

#include "fulmar/allotment/allotmentholder.h"
#include "fulmar/base/stallmonitor.h"
#include "fulmar/consensus/replicatedlog.h"
#include "fulmar/controlnode/callqueue.h"
#include "fulmar/controlnode/livenesstable.h"
#include "fulmar/controlnode/voterpolicy.h"
#include "fulmar/controlstate/controlstate.h"
#include "fulmar/eventloop/framelink.h"
#include "fulmar/fleetlink/linkmessages.h"
#include "fulmar/journal/posixfilesystem.h"
#include "fulmar/telemetry/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmar::controlnode {

struct control_node_options {
  /// IP:PORT at which others reach this instance's links; also its replica id.
  std::string LinkAddress;
  /// IP:PORT on which links are accepted if it differs from LinkAddress, for
  /// example behind address translation. Empty to use LinkAddress.
  std::string LinkListenAddress;
  std::string DataCentre;
  std::string DataFolder;
  /// True if the whole system starts for the first time.
  bool Bootstrap = false;
  /// Link addresses of the control instances known at the start, which are also
  /// the initial voters of a new cluster.
  std::vector<std::string> Seeds;
  voter_policy_options Voters;
  /// Reads the accounts from a plan's document; plans have none without it.
  controlstate::accounts_reader ReadAccounts;
  allotment::quota_options Quotas;
};

/// An order on a data centre from a caller that chose no id for it.
struct data_centre_order {
  std::string Name;
  controlstate::data_centre_action Action =
      controlstate::data_centre_action::Leave;
  std::string Author;
  /// False once the caller is known to have left.
  std::function<bool()> CallerConnected;
};

class control_node {
public:
  control_node(eventloop::loop &OwningLoop, control_node_options Chosen,
               telemetry::metrics &Registry);

  ~control_node();
  control_node(const control_node &) = delete;
  control_node &operator=(const control_node &) = delete;

  base::result<void> start();
  /// Transfers leadership to another voter. Calls \p Done once this instance no
  /// longer leads or the transfer has timed out.
  void transferLeadership(std::function<void()> Done);
  /// Adds instances to connect to.
  void addSeeds(const std::vector<std::string> &Seeds);

  using reply_handler = std::function<void(base::result<controlstate::reply>)>;
  /// Executes a command on the leader within \p Limit.
  void propose(controlstate::command_body Body, base::duration Limit,
               reply_handler Handler);
  /// Executes an operator's order on a data centre within \p Limit, numbered by
  /// the operations that this instance has applied. An order that was overtaken
  /// by another one is numbered again while its caller is connected.
  void operate(data_centre_order Order, base::duration Limit,
               reply_handler Handler);
  /// Reads the routing plan's document, confirmed by a quorum to be the newest.
  void readDocument(base::duration Limit, call_handler Handler);

  /// Records that this instance runs and logs a stall that ends now. Called
  /// with each tick; also call it before work whose age matters.
  void recordTurn();
  /// End of this instance's last stall; empty if there was none.
  [[nodiscard]] std::optional<base::instant> stallEndedAt() const {
    return Stalls.endedAt();
  }
  [[nodiscard]] base::instant now() const { return Loop.now(); }

  /// Records that a target sent a report to this instance.
  void recordTargetReport(const std::string &Id);

  [[nodiscard]] const controlstate::control_state &state() const {
    return State;
  }
  [[nodiscard]] std::vector<controlstate::member_report> readyEntries() const {
    return Liveness.readyEntries(Loop.now());
  }
  /// Returns whether the journal has failed, which stops the loop.
  [[nodiscard]] bool failed() const { return Failed; }
  [[nodiscard]] consensus::log_status status() const {
    return Log->status(Loop.now());
  }

private:
  using link_ptr = std::shared_ptr<eventloop::frame_link>;
  /// An accepted link. EntryId is empty until an entry identifies itself.
  struct accepted_link {
    link_ptr Link;
    std::string EntryId;
  };

  void onLinkAccepted(const link_ptr &Link);
  void onAcceptedFrame(const link_ptr &Link, std::string_view Frame);
  void onDialedFrame(const std::string &Peer, std::string_view Frame);
  void handle(const link_ptr &Link, const fleetlink::entry_status &Notice);
  void handle(const link_ptr &Link, const fleetlink::fetch_request &Request);
  void handle(const link_ptr &Link,
              const fleetlink::crash_notification &Notice);
  void handle(const link_ptr &Link,
              const fleetlink::answer_notification &Notice);
  void handle(const link_ptr &Link, const fleetlink::log_message &Message);
  void handle(const link_ptr &Link, const fleetlink::join_request &Request);
  void handle(const link_ptr &Link, const fleetlink::call_request &Request);
  void handle(const link_ptr &Link, const fleetlink::call_reply &Reply);
  void handle(const link_ptr &Link, const fleetlink::target_liveness &Notice);
  void handle(const link_ptr &Link, const fleetlink::entry_heartbeat &Alive);
  /// Messages that only arrive on dialled links; ignored on accepted ones.
  void handle(const link_ptr & /*Link*/,
              const fleetlink::control_plane_members &) {}
  void handle(const link_ptr & /*Link*/, const fleetlink::fetch_reply &) {}
  void handle(const link_ptr & /*Link*/, const fleetlink::log_position &) {}
  void handle(const link_ptr & /*Link*/, const fleetlink::notification_ack &) {}
  void handle(const link_ptr & /*Link*/, const fleetlink::capabilities &) {}
  void handle(const link_ptr & /*Link*/, const fleetlink::proof_reply &) {}
  void handle(const link_ptr & /*Link*/, const fleetlink::allotment_holder &) {}
  void handle(const link_ptr & /*Link*/, const fleetlink::allotment_reply &) {}
  void handle(const link_ptr &Link, const fleetlink::proof_request &Request);
  void handle(const link_ptr &Link,
              const fleetlink::allotment_request &Request);
  void handle(const link_ptr & /*Link*/, const fleetlink::rollout_evidence &) {}

  void dial(const std::string &Address);
  void tick();
  void scheduleFlush();
  void flush();
  void onRoleChange(const consensus::role_change &Change);
  void onCompletion(const consensus::completion &Completion);
  /// An order and the number of its last attempt.
  struct pending_order {
    data_centre_order Order;
    base::instant Deadline{};
    reply_handler Handler;
    std::uint64_t Number = 0;
    /// An earlier attempt may have taken effect.
    bool Attempted = false;
  };
  void attemptOrder(pending_order Pending);
  /// Answers an order that an instance of an earlier version sends right after
  /// it stood still: it may be old, and its id does not tell. Returns whether
  /// it was one.
  bool refusesOldOrder(const fleetlink::call_request &Request);
  void onOrderReply(pending_order Pending,
                    const base::result<controlstate::reply> &Reply);
  /// Attempts the overtaken orders whose successor is applied here by now, and
  /// ends those whose time is over.
  void resumeOrders();
  void runHandlers(std::vector<finished_call> Finished);
  void attemptDueCalls();
  void attemptCall(const due_call &Call);
  /// Executes a call on this instance. \p Done may be called later.
  void executeLocally(fleetlink::leader_call Call, std::string Command,
                      const call_handler &Done);
  void sendTo(const std::string &Peer, const fleetlink::link_message &Message);
  void announce();
  /// Announces changes immediately, or after a delay if the last announcement
  /// was recent, so that many changes in a row are sent in a few messages.
  void scheduleAnnouncement();
  /// Returns the encoded changes after \p Since. The result is cached, because
  /// entries mostly request the same changes.
  const std::string &changesSince(publication::serial Since);
  /// Logs each change of a data centre as this instance applies it.
  void logDataCentreChanges();
  void performMaintenance();
  void requestMembership();
  void removeSilentVoter();
  /// Logs once why a silent voter is kept.
  void logKeptVoter(const std::optional<std::string> &Kept);
  void changeVoters(const voter_change &Change,
                    const std::string &JoiningInstance);
  void proposeInBackground(controlstate::command_body Body);
  void fail(const base::error &Cause);
  [[nodiscard]] fleetlink::log_position logPosition() const;
  /// True if this instance grants the tokens of accounts' quotas.
  [[nodiscard]] bool holdsAllotments() const;
  /// Applies the quotas of the current accounts.
  void updateAllotments();
  /// Returns whether a recent quorum proof covers this instance's state.
  [[nodiscard]] bool hasFreshProof() const;
  [[nodiscard]] std::vector<std::string> memberAddresses() const;

  eventloop::loop &Loop;
  control_node_options Options;
  telemetry::metrics &Metrics;
  journal::posix_filesystem Files;
  controlstate::control_state State;
  std::unique_ptr<consensus::replicated_log> Log;
  eventloop::frame_server Server;
  std::map<std::string, std::unique_ptr<eventloop::frame_dialer>> Dialers;
  std::map<eventloop::frame_link *, accepted_link> AcceptedLinks;

  call_queue Calls;
  /// Overtaken orders that wait until this instance knows their successor.
  std::vector<pending_order> OvertakenOrders;
  base::stall_monitor Stalls;
  /// Stalls of other control instances, by the times of their messages. Cuts
  /// of their links count too.
  std::map<std::string, base::stall_monitor> PeerStalls;
  /// Serial of each data centre's last logged change.
  std::map<std::string, std::uint64_t> LoggedSerials;
  liveness_table Liveness;
  voter_policy Voters;
  /// Silent voter that was last logged as kept for the sake of its disk.
  std::optional<std::string> LoggedKeptVoter;
  allotment::allotment_holder Allotments;
  /// Serial of the accounts whose quotas Allotments has.
  publication::serial AllotmentsSerial = 0;
  /// Term in which this instance began to lead.
  std::uint64_t LeaderTerm = 0;
  /// Handlers of proposals and reads that are pending in the log.
  std::map<consensus::ticket, call_handler> PendingRequests;

  std::string Leader;
  /// Members of the log as last reported by each peer.
  std::map<std::string, std::vector<std::string>> MembersReportedBy;
  publication::serial AnnouncedSerial = 0;
  base::instant AnnouncedAt{};
  /// Cache of encoded changes by the requested serial; valid while the latest
  /// serial is EncodedSerial.
  std::map<publication::serial, std::string> EncodedChanges;
  publication::serial EncodedSerial = 0;
  std::vector<std::string> AnnouncedMembers;
  /// Expires with this object; checked by functions posted to the loop.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
  base::instant FlushedAt{};
  bool IsLeader = false;
  /// True if a peer with a fresh proof last reported members without this
  /// instance.
  bool MissingInPeerMembers = false;
  bool AnnounceScheduled = false;
  /// True if the last announcement was sent with a fresh proof.
  bool AnnouncedFreshProof = false;
  bool FlushScheduled = false;
  bool Failed = false;
  eventloop::timer TickTimer;
  eventloop::timer FlushTimer;
  eventloop::timer ChangeAnnounceTimer;
  eventloop::timer AnnounceTimer;
  eventloop::timer MaintenanceTimer;
  eventloop::timer JoinTimer;
  eventloop::timer TransferTimer;
  std::function<void()> OnTransferDone;
};

} // namespace fulmar::controlnode

#endif // FULMAR_CONTROLNODE_CONTROLNODE_H
