// An entry's view of the fleet, updated over links to the control instances. If
// all links are lost, the last view stays in use.

#ifndef FULMAR_GATEWAY_FLEETFEED_H
#define FULMAR_GATEWAY_FLEETFEED_H

#include "fulmar/accounts/viewproof.h"
#include "fulmar/controlstate/commands.h"
#include "fulmar/eventloop/framelink.h"
#include "fulmar/fleetlink/linkmessages.h"
#include "fulmar/gateway/crashreports.h"
#include "fulmar/gateway/viewdecoder.h"
#include "fulmar/publication/publisheditems.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::gateway {

struct fleet_feed_options {
  controlstate::member_report Self;
  /// Link addresses of the control instances known at the start.
  std::vector<std::string> Seeds;
};

class fleet_feed {
public:
  using view_handler = std::function<void(const fleet_view &)>;
  /// Called when the view is proved to lack nothing that was acknowledged
  /// before a later time than before.
  using proof_handler = std::function<void(base::instant ProvedAt)>;

  fleet_feed(eventloop::loop &OwningLoop, fleet_feed_options InitialOptions,
             view_handler ChangeHandler);

  /// Proofs are asked for only while the view has accounts.
  void setProofHandler(proof_handler Handler) { OnProof = std::move(Handler); }
  /// \p Handler gets the replies to askHolder().
  void setAllotmentHandler(
      std::function<void(const fleetlink::allotment_reply &)> Handler) {
    OnAllotment = std::move(Handler);
  }
  /// Called when another control instance grants tokens from now on.
  void setHolderHandler(std::function<void()> Handler) {
    OnHolderChange = std::move(Handler);
  }
  /// Asks the instance that grants tokens. Does nothing if none is known.
  void askHolder(const fleetlink::allotment_request &Request);
  [[nodiscard]] bool knowsHolder() const { return !Holder.empty(); }
  void addSeeds(const std::vector<std::string> &Seeds);
  /// Tells the control instances whether callers may be sent to this entry.
  void setReady(bool Ready);
  /// Sends the report repeatedly until a control instance confirms that it
  /// counted it.
  void reportCrash(const controlstate::crash_command &Crash);
  /// Same as reportCrash(), for a response to a quarantined request.
  void reportAnsweredRequest(const std::string &Fingerprint,
                             base::instant AnsweredAt);

  [[nodiscard]] const fleet_view &view() const { return View; }

private:
  struct control_link {
    std::unique_ptr<eventloop::frame_dialer> Dialer;
    std::string DataCentre;
    publication::serial Latest = 0;
    /// A quorum has recently confirmed the instance's state.
    bool QuorumConfirmed = false;
    /// The instance knows the messages that fleetlink::capabilities announces.
    bool Capable = false;
  };

  void connect(const std::string &Address);
  void onFrame(const std::string &From, std::string_view Frame);
  void handle(const std::string &From, const fleetlink::log_position &Notice);
  void handle(const std::string &From,
              const fleetlink::control_plane_members &Notice);
  void handle(const fleetlink::fetch_reply &Reply);
  void handle(const fleetlink::proof_reply &Reply);
  void handle(const std::string &From,
              const fleetlink::allotment_holder &Notice);
  void handle(const std::string &From, const fleetlink::allotment_reply &Reply);
  void askForProof();
  void notifyProof();
  void fetchIfBehind(bool AnyDataCentre);
  /// True when a first copy may be fetched from the instance: as far as can be
  /// known, its state is not older than what it acknowledged before a restart.
  [[nodiscard]] bool canBootstrapFrom(const control_link &Link) const;
  void tick();
  void announce();
  void sendReports();
  void sendAll(const fleetlink::link_message &Message);

  eventloop::loop &Loop;
  fleet_feed_options Options;
  view_handler OnChange;
  std::map<std::string, control_link> Links;
  publication::published_items Items;
  view_decoder Decoder;
  crash_reports Reports;
  fleet_view View;
  accounts::view_proof Proof;
  proof_handler OnProof;
  std::function<void(const fleetlink::allotment_reply &)> OnAllotment;
  std::function<void()> OnHolderChange;
  /// Address of the instance that grants tokens; empty if unknown.
  std::string Holder;
  std::uint64_t HolderTerm = 0;
  /// Asked in turn; counts the questions.
  std::size_t ProofTurn = 0;
  bool Ready = false;
  /// Fetch everything, because the received changes could not be merged.
  bool NeedsFullCopy = false;
  base::instant FetchSentAt{};
  bool FetchPending = false;
  /// Address of the last fetch request, and the number of fetch requests in a
  /// row that timed out.
  std::string FetchedFrom;
  unsigned FetchTimeouts = 0;
  eventloop::timer TickTimer;
  eventloop::timer HeartbeatTimer;
  eventloop::timer ProofTimer;
  eventloop::timer FirstFetchTimer;
  bool FirstFetchArmed = false;
  /// When an instance first offered a copy.
  std::optional<base::instant> FirstOfferAt;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_FLEETFEED_H
