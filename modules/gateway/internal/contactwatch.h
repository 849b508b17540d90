// Follows the contact of this entry to the targets of each service: logs when
// it is lost and regained, counts the services without contact, and probes
// until they answer again.

#ifndef FULMAR_GATEWAY_INTERNAL_CONTACTWATCH_H
#define FULMAR_GATEWAY_INTERNAL_CONTACTWATCH_H

#include "fulmar/eventloop/loop.h"

#include <memory>
#include <string>

namespace fulmar::gateway {

struct gateway_state;
struct service_state;

class contact_watch {
public:
  explicit contact_watch(gateway_state &Owner);

  /// A target of the service answered, whatever the answer was.
  void answered(service_state &Service, const std::string &Target);
  /// A target of the service did not answer what was sent to it at \p AskedAt,
  /// or could not be reached.
  void silent(service_state &Service, const std::string &Target,
              base::instant AskedAt);

private:
  /// Probes one target of each service without contact.
  void check();
  /// A partition concerns all services: asks those that have not answered for
  /// a while too, before their next request does.
  void checkOthers(const service_state &Lost);
  void probe(const std::shared_ptr<service_state> &Service, std::size_t Count);
  void updateGauge() const;

  gateway_state &State;
  eventloop::timer CheckTimer;
  /// The next check opens a new connection.
  bool ChecksNewConnection = false;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_CONTACTWATCH_H
