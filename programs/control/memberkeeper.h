// Keeps the leases of entries: forwards reports to the leader, and as leader
// proposes the joining and the expiry of members.

#ifndef FULMAR_PROGRAMS_CONTROL_MEMBERKEEPER_H
#define FULMAR_PROGRAMS_CONTROL_MEMBERKEEPER_H

#include "fulmar/base/result.h"
#include "fulmar/controlstate/commands.h"
#include "fulmar/controlstate/controlstate.h"
#include "fulmar/leases/leasetable.h"

#include <json/value.h>

#include <map>
#include <string>
#include <vector>

namespace fulmar::control {

/// Owned by the control task.
class member_keeper {
public:
  explicit member_keeper(const controlstate::control_state &Controlled)
      : State(Controlled), Leases(Controlled.policy().MemberLease) {}

  /// Takes the reports of one entry.sync, of which each is `age_ms` old. Fails
  /// with BadRequest without taking any when one is malformed.
  base::result<void> takeReports(const Json::Value &Instances,
                                 base::instant Now);

  /// Starts a term as leader.
  void becomeLeader(base::instant Now);

  /// Commands that the leader should propose now, at most one for each member
  /// within a short time.
  std::vector<controlstate::command_body> dueCommands(base::instant Now);

  /// Reports of the last moments, for the leader.
  [[nodiscard]] Json::Value reportsToForward(base::instant Now) const;

  [[nodiscard]] leases::confirmation_report force(publication::serial Serial,
                                                  base::instant Now) const {
    return Leases.confirmations(Serial, Now);
  }

private:
  struct held_report {
    controlstate::member_report Report;
    publication::serial InForce = 0;
    base::instant MadeAt;
  };

  [[nodiscard]] bool isKnown(const controlstate::member_report &Report) const;
  [[nodiscard]] bool proposedOfLate(const std::string &Id, base::instant Now);

  const controlstate::control_state &State;
  leases::lease_table Leases;
  std::map<std::string, held_report> Reports;
  /// When a command about a member was last returned by dueCommands().
  std::map<std::string, base::instant> ProposedAt;
};

} // namespace fulmar::control

#endif // FULMAR_PROGRAMS_CONTROL_MEMBERKEEPER_H
