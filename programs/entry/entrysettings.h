// Settings of an entry instance.

#ifndef FULMAR_PROGRAMS_ENTRY_ENTRYSETTINGS_H
#define FULMAR_PROGRAMS_ENTRY_ENTRYSETTINGS_H

#include "fulmar/directory/directorytypes.h"
#include "fulmar/runtime/program.h"

#include <string>
#include <vector>

namespace fulmar::entry {

struct entry_options {
  /// What this instance reports of itself; the incarnation is drawn at start.
  directory::member Self;
  /// IP:PORT for callers and targets.
  std::string Listen;
  /// IP:PORT for JSON-RPC and /metrics.
  std::string RpcListen;
  /// The control instances.
  std::vector<std::string> ControlAddresses;
  int MaxConnections = 0;
  std::string TraceFile;
};

settings::schema entrySchema();
entry_options entryOptions(const settings::settings &Read);

} // namespace fulmar::entry

#endif // FULMAR_PROGRAMS_ENTRY_ENTRYSETTINGS_H
