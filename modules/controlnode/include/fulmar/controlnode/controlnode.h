// One control instance on an event loop: the replicated log with its state,
// the links to the other control instances and to the entries.

#ifndef FULMAR_CONTROLNODE_CONTROLNODE_H
#define FULMAR_CONTROLNODE_CONTROLNODE_H

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
#include <set>
#include <string>
#include <vector>

namespace fulmar::controlnode {

struct control_node_options {
  /// IP:PORT of this instance's links; also its name in the log.
  std::string LinkAddress;
  /// Where links are accepted if not there: behind a relay of addresses.
  std::string LinkListenAddress;
  std::string DataCentre;
  std::string DataFolder;
  /// The whole system starts for the first time.
  bool Bootstrap = false;
  /// Link addresses of the instances that are known at the start.
  std::vector<std::string> Seeds;
  /// Silence after which a voter counts as gone.
  base::duration DeadVoterTimeout = voter_policy::DefaultDeadVoterTimeout;
};

class control_node {
public:
  control_node(eventloop::loop &OwningLoop, control_node_options Chosen,
               telemetry::metrics &Registry);

  ~control_node();
  control_node(const control_node &) = delete;
  control_node &operator=(const control_node &) = delete;

  base::result<void> start();
  /// Hands leadership over; call \p Done when that is settled or takes too
  /// long.
  void transferLeadership(std::function<void()> Done);
  /// Further instances to keep links to.
  void addSeeds(const std::vector<std::string> &Seeds);

  using reply_handler = std::function<void(base::result<controlstate::reply>)>;
  /// Carries a command out at the leader, within \p Limit.
  void propose(controlstate::command_body Body, base::duration Limit,
               reply_handler Handler);
  /// The routing plan's document that a quorum confirms as the newest.
  void readDocument(base::duration Limit, call_handler Handler);

  /// A target reported here.
  void recordTargetReport(const std::string &Id);

  [[nodiscard]] const controlstate::control_state &state() const {
    return State;
  }
  [[nodiscard]] std::vector<controlstate::member_report> readyEntries() const {
    return Liveness.readyEntries(Loop.now());
  }
  /// The journal can't be trusted any more; the loop has been stopped.
  [[nodiscard]] bool failed() const { return Failed; }
  [[nodiscard]] consensus::log_status status() const {
    return Log->status(Loop.now());
  }

private:
  using link_ptr = std::shared_ptr<eventloop::frame_link>;
  /// An accepted link, with the entry at its other end once that is known.
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
  /// Messages that only dialled links carry.
  void handle(const link_ptr & /*Link*/,
              const fleetlink::control_plane_members &) {}
  void handle(const link_ptr & /*Link*/, const fleetlink::fetch_reply &) {}
  void handle(const link_ptr & /*Link*/, const fleetlink::log_position &) {}
  void handle(const link_ptr & /*Link*/, const fleetlink::notification_ack &) {}

  void dial(const std::string &Address);
  void tick();
  void scheduleFlush();
  void flush();
  void onRoleChange(const consensus::role_change &Change);
  void onCompletion(const consensus::completion &Completion);
  void runHandlers(std::vector<finished_call> Finished);
  void attemptDueCalls();
  void attemptCall(const due_call &Call);
  /// Carries a call out here; \p Done may be called later.
  void executeLocally(fleetlink::leader_call Call, std::string Command,
                      const call_handler &Done);
  void sendTo(const std::string &Peer, const fleetlink::link_message &Message);
  void announce();
  /// Announces what has changed, at once or after the pause that keeps many
  /// changes in a row from becoming as many notices to each entry.
  void scheduleAnnouncement();
  /// The encoded changes behind \p Since; entries mostly ask for the same ones.
  const std::string &changesSince(publication::serial Since);
  void performMaintenance();
  void requestMembership();
  void removeSilentVoter();
  void changeVoters(const voter_change &Change,
                    const std::string &JoiningInstance);
  void proposeInBackground(controlstate::command_body Body);
  void fail(const base::error &Cause);
  [[nodiscard]] fleetlink::log_position logPosition() const;
  /// A quorum has confirmed this instance's state lately.
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
  liveness_table Liveness;
  voter_policy Voters;
  /// Handlers of proposals and reads that the log has not finished.
  std::map<consensus::ticket, call_handler> PendingRequests;

  std::string Leader;
  /// What each peer said of the members last.
  std::map<std::string, std::vector<std::string>> MembersReportedBy;
  publication::serial AnnouncedSerial = 0;
  base::instant AnnouncedAt{};
  /// Encoded answers, by what was asked; valid for the serial EncodedSerial.
  std::map<publication::serial, std::string> EncodedChanges;
  publication::serial EncodedSerial = 0;
  std::vector<std::string> AnnouncedMembers;
  /// Expires with this object; posted work checks it.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
  base::instant FlushedAt{};
  bool IsLeader = false;
  /// Some peer with a fresh proof lists the members without this instance.
  bool MissingInPeerMembers = false;
  bool AnnounceScheduled = false;
  /// The last notice told of a fresh proof.
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
