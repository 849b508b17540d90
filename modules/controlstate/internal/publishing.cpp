// Keeps the published items equal to the tables.

#include "fulmar/controlstate/controlstate.h"
#include "fulmar/controlstate/jsonforms.h"

#include <json/value.h>
#include <json/writer.h>

#include <set>
#include <utility>

namespace fulmar::controlstate {

namespace {

std::string compact(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

} // namespace

void control_state::publishSection(const std::string &Section) {
  const std::string *Content = Edits.inForce().find(Section);
  std::string Text;
  if (Content != nullptr) {
    Json::Value Value;
    Value["content"] = *Content;
    Value["number"] = Json::UInt64(Edits.numberOf(Section));
    Text = compact(Value);
  }
  Published.put(publication::SectionPrefix + Section, std::move(Text), Index);
  if (Section == document::ControlPolicySection)
    readPolicy();
  if (Section.starts_with(document::DataCentrePrefix))
    publishDataCentre(Section.substr(document::DataCentrePrefix.size()));
}

void control_state::publishDataCentre(const std::string &Name) {
  const bool In = DataCentres.stateOf(Name).In;
  const bool Described =
      Edits.inForce().find(std::string(document::DataCentrePrefix) + Name) !=
      nullptr;
  // One that is out stays published when its section is removed: its targets
  // may still announce themselves.
  Json::Value Value;
  Value["state"] = In ? "in" : "out";
  Published.put(publication::DataCentrePrefix + Name,
                Described || !In ? compact(Value) : "", Index);
}

void control_state::publishMember(const std::string &Id) {
  const auto Found = Members.all().find(Id);
  Published.put(publication::MemberPrefix + Id,
                Found == Members.all().end() ? ""
                                             : compact(toJson(Found->second)),
                Index);
}

void control_state::publishTarget(const std::string &Id) {
  const fleet::target_report *Held = Targets.find(Id);
  const bool Present =
      Held != nullptr && Held->Phase != fleet::target_phase::Left;
  Published.put(publication::TargetPrefix + Id,
                Present ? fleet::encodeTarget(*Held) : "", Index);
}

void control_state::publishPlan(fleet::routing_plan Head) {
  const auto Routes = std::exchange(Head.Routes, {});
  const std::string Prefix = publication::RoutePrefix;
  std::set<std::string> Present;
  for (const fleet::route &Route : Routes) {
    const std::string Key = Prefix + Route.Host + Route.PathPrefix;
    Present.insert(Key);
    Published.put(Key, fleet::encodeRoute(Route), Index);
  }
  for (const publication::item &Item : Published.withPrefix(Prefix)) {
    if (!Present.contains(Item.Key))
      Published.put(Item.Key, "", Index);
  }
  Published.put(publication::PlanKey, fleet::encodePlan(Head), Index);
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
    Published.put(Prefix + Fingerprint, compact(Value), Index);
  }
}

} // namespace fulmar::controlstate
