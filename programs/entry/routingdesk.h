// The router with the requests that wait for it: turns the router's answers
// into replies, and tells the directory what the router observed.

#ifndef FULMAR_PROGRAMS_ENTRY_ROUTINGDESK_H
#define FULMAR_PROGRAMS_ENTRY_ROUTINGDESK_H

#include "entrymessages.h"
#include "servicepolicies.h"

#include "fulmar/directory/shareview.h"
#include "fulmar/publication/publisheditems.h"
#include "fulmar/routing/router.h"

#include <map>
#include <vector>

namespace fulmar::entry {

/// Owned by the entry's task.
class routing_desk {
public:
  explicit routing_desk(std::uint64_t Seed);

  void setPolicies(const service_policies &Policies,
                   const directory::member &Self);
  /// Takes over the published quarantines and forgets the withdrawn ones.
  void setQuarantines(const publication::published_items &Items,
                      base::instant Now);

  void acquire(const acquire_permit &Request, base::instant Now);
  void finish(const finish_permit &Finished, base::instant Now);

  void targetUnreachable(const base::target_id &Target, base::instant Now);

  /// Gives the router the targets that may be used now.
  void refresh(const directory::share_view &Shares, base::instant Now);
  void tick(base::instant Now);

  /// What owners are asked for.
  [[nodiscard]] directory::router_counters counters() const;
  [[nodiscard]] std::size_t waiting() const { return Waiting.size(); }
  [[nodiscard]] bool knows(const base::service_name &Service) const {
    return Services.contains(Service);
  }

  /// Moves the router's observations over to \p Shares.
  void reportObservations(directory::share_view &Shares, base::instant Now);
  std::vector<routing::crash_report> takeCrashReports() {
    return Router.takeCrashReports();
  }

private:
  void answer(const std::vector<routing::ticket_result> &Answers);

  routing::router Router;
  service_policies Services;
  std::map<std::uint64_t, std::uint64_t> Quarantines;
  std::map<routing::ticket_id, permit_responder> Waiting;
};

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_ROUTINGDESK_H
