// Probes targets whose attempts broke off, to find out whether they still run.
//
// Placement avoids such targets, so that without these probes an entry would
// hardly ever learn in time that a target has crashed.

#ifndef FULMAR_GATEWAY_INTERNAL_SUSPECTCHECKER_H
#define FULMAR_GATEWAY_INTERNAL_SUSPECTCHECKER_H

#include "fulmar/eventloop/loop.h"
#include "fulmar/fleet/targetreport.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace fulmar::gateway {

struct gateway_state;
struct service_state;

class suspect_checker {
public:
  explicit suspect_checker(gateway_state &Owner);

  /// Probes \p Target soon, and again for as long as it is suspected of having
  /// crashed.
  void add(const std::shared_ptr<service_state> &Service,
           const fleet::target_report &Target);
  /// A target has refused a new connection. If it is suspected, a connection to
  /// another target decides whether this proves a crash: an entry that is cut
  /// off is refused by all of them.
  void refused(const std::shared_ptr<service_state> &Service,
               const std::string &Target);

private:
  struct suspect {
    std::shared_ptr<service_state> Service;
    fleet::target_report Target;
  };

  void probeDue();
  /// Confirms that \p Suspect has crashed if a target not in \p Asked accepts a
  /// new connection.
  void testConnection(const std::shared_ptr<service_state> &Service,
                      const std::string &Suspect, std::set<std::string> Asked);
  /// A target not in \p Asked, of this service if possible, and its service;
  /// null if there is none.
  std::pair<std::shared_ptr<service_state>, const fleet::target_report *>
  otherTarget(const std::shared_ptr<service_state> &Service,
              const std::set<std::string> &Asked) const;

  gateway_state &State;
  /// By target id. Targets that are no longer listed are probed too.
  std::map<std::string, suspect> Suspects;
  eventloop::timer Timer;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_SUSPECTCHECKER_H
