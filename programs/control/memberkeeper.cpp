// Reports of members and what the leader makes of them.

#include "memberkeeper.h"

#include "commandcodec.h"

#include "fulmar/controlstate/jsonconversion.h"

namespace fulmar::control {

namespace {

/// Reports older than this are not forwarded any more.
constexpr auto ForwardWindow = std::chrono::milliseconds(1500);
/// Time given to a proposal before the same one is made again.
constexpr auto ProposalPause = std::chrono::milliseconds(500);

} // namespace

base::result<void> member_keeper::takeReports(const Json::Value &Instances,
                                              base::instant Now) {
  if (!Instances.isArray())
    return base::fail(base::error_kind::BadRequest,
                      "instances: expected a list");
  std::vector<held_report> Taken;
  for (const Json::Value &Instance : Instances) {
    BOOST_OUTCOME_TRY(Report, controlstate::memberFromJson(Instance));
    BOOST_OUTCOME_TRY(InForce, numberParameter(Instance, "serial"));
    BOOST_OUTCOME_TRY(AgeMs, numberParameter(Instance, "age_ms"));
    Taken.push_back({.Report = Report,
                     .InForce = InForce,
                     .MadeAt = Now - std::chrono::milliseconds(AgeMs)});
  }
  for (held_report &Report : Taken) {
    const base::instance_id Id(Report.Report.Id);
    Leases.renew(Id, Report.InForce, Report.MadeAt);
    held_report &Held = Reports[Report.Report.Id];
    if (Held.Report.Id.empty() || Held.MadeAt <= Report.MadeAt)
      Held = std::move(Report);
  }
  return base::success();
}

void member_keeper::becomeLeader(base::instant Now) {
  std::vector<base::instance_id> Members;
  for (const auto &[Id, Report] : State.members().all())
    Members.emplace_back(Id);
  Leases = leases::lease_table(State.policy().MemberLease);
  Leases.startTerm(Members, Now);
  ProposedAt.clear();
}

bool member_keeper::isKnown(const controlstate::member_report &Report) const {
  const auto &Members = State.members().all();
  const auto Found = Members.find(Report.Id);
  return Found != Members.end() && Found->second == Report;
}

bool member_keeper::proposedOfLate(const std::string &Id, base::instant Now) {
  const auto [Entry, Added] = ProposedAt.try_emplace(Id, Now);
  if (Added)
    return false;
  if (Now - Entry->second < ProposalPause)
    return true;
  Entry->second = Now;
  return false;
}

std::vector<controlstate::command_body>
member_keeper::dueCommands(base::instant Now) {
  std::vector<controlstate::command_body> Due;
  for (const base::instance_id &Instance : Leases.expired(Now)) {
    Reports.erase(Instance.str());
    const auto Member = State.members().all().find(Instance.str());
    if (Member == State.members().all().end()) {
      Leases.remove(Instance);
      ProposedAt.erase(Instance.str());
    } else if (!proposedOfLate(Instance.str(), Now)) {
      Due.emplace_back(controlstate::member_expired_command{
          .Id = Instance.str(), .Incarnation = Member->second.Incarnation});
    }
  }
  for (const auto &[Id, Held] : Reports) {
    if (!isKnown(Held.Report) && !proposedOfLate(Id, Now))
      Due.emplace_back(controlstate::member_report_command{Held.Report});
  }
  return Due;
}

Json::Value member_keeper::reportsToForward(base::instant Now) const {
  Json::Value List(Json::arrayValue);
  for (const auto &[Id, Held] : Reports) {
    const auto Age = Now - Held.MadeAt;
    if (Age > ForwardWindow)
      continue;
    Json::Value Report = controlstate::toJson(Held.Report);
    Report["serial"] = Json::UInt64(Held.InForce);
    Report["age_ms"] = Json::UInt64(
        std::chrono::duration_cast<std::chrono::milliseconds>(Age).count());
    List.append(std::move(Report));
  }
  return List;
}

} // namespace fulmar::control
