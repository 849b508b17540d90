// The HTTP side of an entry: the proxy for callers' requests and the entry's
// own paths for callers and targets.

#ifndef FULMAR_PROGRAMS_ENTRY_ENTRYFRONT_H
#define FULMAR_PROGRAMS_ENTRY_ENTRYFRONT_H

#include "entryrouter.h"
#include "entrysettings.h"
#include "entrytask.h"

#include "fulmar/claims/iclaimstore.h"
#include "fulmar/proxy/connectionpool.h"
#include "fulmar/proxy/forwarder.h"
#include "fulmar/proxy/httpfront.h"
#include "fulmar/proxy/iexchangeobserver.h"
#include "fulmar/telemetry/trace.h"

namespace fulmar::entry {

class entry_front final : public proxy::iexchange_observer {
public:
  entry_front(const entry_options &Settings, entry_task &EntryTask,
              claims::iclaim_store &Claims, telemetry::metrics &Metrics);

  base::result<void> start();
  proxy::http_front &server() { return Server; }

  void observed(const proxy::target_observation &Observation) override;

private:
  proxy::plain_answer ask(const std::string &Method,
                          const Json::Value &Parameters);
  proxy::plain_answer onAnnounce(const proxy::plain_request &Request);
  proxy::plain_answer onEntries(const proxy::plain_request &Request);

  const entry_options Options;
  entry_task &Task;
  entry_router Router;
  proxy::connection_pool Pool;
  telemetry::span_exporter Spans;
  proxy::forwarder Forwarder;
  proxy::http_front Server;
};

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_ENTRYFRONT_H
