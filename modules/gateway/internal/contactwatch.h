// Follows the contact of this entry to the targets of each service: logs when
// it is lost and regained, and counts the services without contact.

#ifndef FULMAR_GATEWAY_INTERNAL_CONTACTWATCH_H
#define FULMAR_GATEWAY_INTERNAL_CONTACTWATCH_H

#include "fulmar/base/time.h"

#include <string>

namespace fulmar::gateway {

struct gateway_state;
struct service_state;

class contact_watch {
public:
  explicit contact_watch(gateway_state &Owner) : State(Owner) {}

  /// A target of the service answered, whatever the answer was.
  void answered(service_state &Service, const std::string &Target);
  /// A target of the service did not answer what was sent to it at \p AskedAt,
  /// or could not be reached.
  void silent(service_state &Service, const std::string &Target,
              base::instant AskedAt);

private:
  void updateGauge() const;

  gateway_state &State;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_CONTACTWATCH_H
