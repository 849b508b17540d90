// Settings of a control instance.

#ifndef FULMAR_PROGRAMS_CONTROL_CONTROLSETTINGS_H
#define FULMAR_PROGRAMS_CONTROL_CONTROLSETTINGS_H

#include "fulmar/runtime/program.h"

#include <map>
#include <string>

namespace fulmar::control {

struct control_options {
  std::string Id;
  /// IP:PORT of JSON-RPC and /metrics.
  std::string Listen;
  std::string DataFolder;
  bool Bootstrap = false;
  /// Addresses of the control instances by id, this one included.
  std::map<std::string, std::string> Peers;
  /// Salted hash of the administrator's token.
  std::string AdministratorHash;
};

settings::schema controlSchema();
/// Faults that involve several keys, one a line.
std::vector<std::string> checkControlSettings(const settings::settings &Read);
control_options controlOptions(const settings::settings &Read);

} // namespace fulmar::control

#endif // FULMAR_PROGRAMS_CONTROL_CONTROLSETTINGS_H
