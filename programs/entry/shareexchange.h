// Both sides of share.sync at this entry: it asks every owner for shares, and
// grants shares of the targets that it owns itself. Announcements of targets
// are handed to the owner.

#ifndef FULMAR_PROGRAMS_ENTRY_SHAREEXCHANGE_H
#define FULMAR_PROGRAMS_ENTRY_SHAREEXCHANGE_H

#include "knowledge.h"
#include "servicepolicies.h"

#include "fulmar/directory/shareview.h"
#include "fulmar/directory/targetowner.h"
#include "fulmar/wire/rpclink.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fulmar::entry {

/// Owned by the entry's task.
class share_exchange {
public:
  /// Hands a peer's answer back to the task; called on another thread.
  using answer_post = std::function<void(base::instance_id Owner,
                                         base::result<Json::Value> Answer)>;
  /// Answers a target's announcement; called on any thread.
  using announce_reply = std::function<void(base::result<void> Outcome)>;

  share_exchange(const knowledge &Knowledge, answer_post Post);

  /// To be called when other items are in force.
  void onItemsChanged(base::instant Now);
  void setPolicies(const service_policies &Policies);

  /// Asks every owner that is due. \p Urgent asks sooner, because requests
  /// wait for a share.
  void askOwners(const directory::router_counters &Counters, bool Urgent,
                 base::instant Now);
  void onAnswer(const base::instance_id &Owner,
                const base::result<Json::Value> &Answer, base::instant Now);

  /// Serves share.sync as owner.
  base::result<Json::Value> serve(const Json::Value &Parameters,
                                  base::instant Now);

  /// Keeps the announcement if this entry owns the target, passes it on to the
  /// owner otherwise.
  void announce(const Json::Value &Announcement, const announce_reply &Reply,
                base::instant Now);
  /// An announcement passed on by another entry.
  base::result<Json::Value> keep(const Json::Value &Announcement,
                                 base::instant Now);

  void tick(base::instant Now) { Owner.tick(Now); }

  directory::share_view &view() { return View; }
  [[nodiscard]] const directory::target_owner &owner() const { return Owner; }

private:
  struct peer {
    std::string Address;
    std::unique_ptr<wire::rpc_link> Link;
    base::instant AskedAt{};
    /// The last answer held grants.
    bool Grants = false;
  };

  void ask(const base::instance_id &Owned, peer &Peer,
           const directory::router_counters &Counters, base::instant Now);
  void takeOver(const base::instance_id &Owned,
                const directory::share_answer &Answer, base::instant Now);
  void updatePeers();

  const knowledge &Knowledge;
  answer_post Post;
  directory::target_owner Owner;
  directory::share_view View;
  std::map<base::instance_id, peer> Peers;
};

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_SHAREEXCHANGE_H
