// Updates the published items when the tables change.

#include "fulmar/controlstate/controlstate.h"
#include "fulmar/controlstate/jsonconversion.h"
#include "fulmar/fleet/account.h"

#include <json/value.h>
#include <json/writer.h>

#include <set>
#include <utility>

namespace fulmar::controlstate {

namespace {

std::string toCompactJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

} // namespace

void control_state::publishSection(const std::string &Section) {
  const std::string *Content = Edits.currentDocument().find(Section);
  std::string Text;
  if (Content != nullptr) {
    Json::Value Value;
    Value["content"] = *Content;
    Value["number"] = Json::UInt64(Edits.currentNumber(Section));
    Text = toCompactJson(Value);
  }
  Published.put(publication::SectionPrefix + Section, std::move(Text), Index);
  if (Section == document::ControlPolicySection)
    reloadPolicy();
  if (Section.starts_with(document::DataCentrePrefix))
    publishDataCentre(Section.substr(document::DataCentrePrefix.size()));
}

void control_state::publishDataCentre(const std::string &Name) {
  const bool InService = DataCentres.stateOf(Name).InService;
  const bool HasSection =
      Edits.currentDocument().find(std::string(document::DataCentrePrefix) +
                                   Name) != nullptr;
  // A data centre that is out of service stays published after its section is
  // removed, because its targets may still announce themselves.
  Json::Value Value;
  Value["state"] = InService ? "in" : "out";
  Published.put(publication::DataCentrePrefix + Name,
                HasSection || !InService ? toCompactJson(Value) : "", Index);
}

void control_state::publishMember(const std::string &Id) {
  const auto Found = Members.all().find(Id);
  Published.put(
      publication::MemberPrefix + Id,
      Found == Members.all().end() ? "" : toCompactJson(toJson(Found->second)),
      Index);
}

void control_state::publishTarget(const std::string &Id) {
  const fleet::target_report *Report = Targets.find(Id);
  const bool Present =
      Report != nullptr && Report->Phase != fleet::target_phase::Left;
  Published.put(publication::TargetPrefix + Id,
                Present ? fleet::encodeTarget(*Report) : "", Index);
}

void control_state::publishPlan(fleet::routing_plan NewPlan) {
  const auto Routes = std::exchange(NewPlan.Routes, {});
  const std::string Prefix = publication::RoutePrefix;
  std::set<std::string> CurrentKeys;
  for (const fleet::route &Route : Routes) {
    const std::string Key = Prefix + Route.Host + Route.PathPrefix;
    CurrentKeys.insert(Key);
    Published.put(Key, fleet::encodeRoute(Route), Index);
  }
  for (const publication::item &Item : Published.withPrefix(Prefix)) {
    if (!CurrentKeys.contains(Item.Key))
      Published.put(Item.Key, "", Index);
  }
  Published.put(publication::PlanKey, fleet::encodePlan(NewPlan), Index);
}

void control_state::publishAccounts(publication::serial Serial) {
  if (!ReadAccounts || Plan.version() == 0)
    return;
  // Cannot fail for a plan that was accepted by a build that knows accounts. A
  // plan of an earlier build may hold accounts that are invalid.
  const auto Read = ReadAccounts(Plan.current().Document);
  const fleet::account_set Accounts =
      Read ? Read.value() : fleet::account_set{.Required = true};
  // Once published, the item stays: its absence does not tell that no key is
  // needed, because instances of an earlier build do not publish it.
  if (Accounts.Required || Published.find(publication::AccountsKey) != nullptr)
    Published.put(publication::AccountsKey, fleet::encodeAccounts(Accounts),
                  Serial);
}

void control_state::publishQuarantines() {
  const std::string Prefix = publication::QuarantinePrefix;
  for (const publication::item &Item : Published.withPrefix(Prefix)) {
    if (!Crashes.quarantines().contains(Item.Key.substr(Prefix.size())))
      Published.put(Item.Key, "", Index);
  }
  for (const auto &[Fingerprint, UntilMs] : Crashes.quarantines()) {
    Json::Value Value;
    Value["until_ms"] = Json::Int64(UntilMs);
    Published.put(Prefix + Fingerprint, toCompactJson(Value), Index);
  }
}

} // namespace fulmar::controlstate
