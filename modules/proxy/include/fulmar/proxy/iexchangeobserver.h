// Learns what the answers of targets tell about the targets.

#ifndef FULMAR_PROXY_IEXCHANGEOBSERVER_H
#define FULMAR_PROXY_IEXCHANGEOBSERVER_H

#include "fulmar/proxy/proxytypes.h"

namespace fulmar::proxy {

/// Thread-safe; must not block.
class iexchange_observer {
public:
  virtual ~iexchange_observer() = default;
  virtual void observed(const target_observation &Observation) = 0;
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_IEXCHANGEOBSERVER_H
