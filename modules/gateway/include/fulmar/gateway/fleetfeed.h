// What an entry knows of the fleet, kept up to date over links to the control
// instances. It goes on with what it knows when all of them are lost.

#ifndef FULMAR_GATEWAY_FLEETFEED_H
#define FULMAR_GATEWAY_FLEETFEED_H

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

  fleet_feed(eventloop::loop &OwningLoop, fleet_feed_options InitialOptions,
             view_handler ChangeHandler);

  void addSeeds(const std::vector<std::string> &Seeds);
  /// Tells the control instances whether callers may be sent here.
  void setReady(bool Ready);
  /// Goes on telling the control instances until one of them has counted it.
  void reportCrash(const controlstate::crash_command &Crash);
  /// The same for an answer to a request that is in quarantine.
  void reportAnsweredRequest(const std::string &Fingerprint,
                             base::instant AnsweredAt);

  [[nodiscard]] const fleet_view &view() const { return View; }

private:
  struct control_link {
    std::unique_ptr<eventloop::frame_dialer> Dialer;
    std::string DataCentre;
    publication::serial Latest = 0;
    /// A quorum has confirmed the instance's state lately.
    bool QuorumConfirmed = false;
  };

  void connect(const std::string &Address);
  void onFrame(const std::string &From, std::string_view Frame);
  void handle(const std::string &From, const fleetlink::log_notice &Notice);
  void handle(const std::string &From, const fleetlink::control_notice &Notice);
  void handle(const fleetlink::fetch_reply &Reply);
  void fetchIfBehind(bool AnyDataCentre);
  /// The instance may be asked for a first copy: what it holds is not older
  /// than what it acknowledged before a restart, as far as that can be known.
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
  bool Ready = false;
  /// Ask for everything, because changes did not fit.
  bool NeedsFullCopy = false;
  base::instant FetchSentAt{};
  bool FetchPending = false;
  /// The link on which the last question went out, and how many in a row were
  /// not answered in time.
  std::string FetchedFrom;
  unsigned FetchTimeouts = 0;
  eventloop::timer TickTimer;
  eventloop::timer HeartbeatTimer;
  eventloop::timer FirstFetchTimer;
  bool FirstFetchArmed = false;
  /// When some instance first offered a copy.
  std::optional<base::instant> FirstOfferAt;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_FLEETFEED_H
