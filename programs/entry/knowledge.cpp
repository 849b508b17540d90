// Merges changes, dates proofs and serves both onwards.

#include "knowledge.h"

#include "fulmar/base/rendezvous.h"
#include "fulmar/telemetry/log.h"

#include <json/reader.h>

#include <algorithm>

namespace fulmar::entry {

namespace {

/// Reports of other entries older than this are not passed on.
constexpr auto ChildWindow = std::chrono::milliseconds(1500);

std::int64_t milliseconds(base::duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

knowledge::knowledge(knowledge_options KnowledgeOptions)
    : Options(std::move(KnowledgeOptions)),
      View(std::make_shared<directory::membership>()),
      Freshness(directory::permission_policy().Permission),
      Ownership({.Self = Options.Self.Id,
                 .Incarnation = Options.Self.Incarnation,
                 .HandoverDelay = directory::permission_policy().Permission}),
      Parents({}) {
  chooseParents();
}

void knowledge::chooseParents() {
  std::vector<std::string> Addresses;
  for (const directory::member &Parent : View->parentsOf(Options.Self.Id))
    Addresses.push_back(Parent.RpcAddress);
  // Entries begin at different control instances, so that these share them.
  std::vector<std::string> Control = Options.ControlAddresses;
  const auto Start = base::digest(Options.Self.Id.str()) % Control.size();
  std::rotate(Control.begin(),
              Control.begin() + static_cast<std::ptrdiff_t>(Start),
              Control.end());
  Addresses.insert(Addresses.end(), Control.begin(), Control.end());
  Parents.setParents(std::move(Addresses));
}

Json::Value knowledge::ownReport() const {
  Json::Value Report = directory::toJson(Options.Self);
  Report["serial"] = Json::UInt64(Items.latest());
  Report["age_ms"] = 0;
  return Report;
}

Json::Value knowledge::syncRequest(base::instant Now) const {
  Json::Value Parameters;
  Parameters["known_serial"] = Json::UInt64(NeedsFullCopy ? 0 : Items.latest());
  Parameters["instances"] = Json::Value(Json::arrayValue);
  Parameters["instances"].append(ownReport());
  for (const auto &[Id, Child] : Children) {
    const auto Age = Now - Child.MadeAt;
    if (Age > ChildWindow)
      continue;
    Json::Value Report = Child.Report;
    Report["age_ms"] = Json::Int64(milliseconds(Age));
    Parameters["instances"].append(std::move(Report));
  }
  return Parameters;
}

void knowledge::onSyncAnswer(const std::string &Parent, base::instant SentAt,
                             const base::result<Json::Value> &Answer,
                             base::instant Now) {
  if (!Answer.has_value())
    return Parents.onFailure(Parent, Now);
  if (!takeAnswer(Answer.value(), SentAt, Now).has_value()) {
    NeedsFullCopy = true;
    return Parents.onFailure(Parent, Now);
  }
  NeedsFullCopy = false;
  const std::chrono::milliseconds ProofAge(
      Answer.value()["proof_age_ms"].asInt64());
  Parents.onAnswer(Parent, ProofAge, Now);
}

base::result<void> knowledge::takeAnswer(const Json::Value &Answer,
                                         base::instant SentAt,
                                         base::instant Now) {
  if (!Answer.isObject() || !Answer["proof_age_ms"].isInt64() ||
      Answer["proof_age_ms"].asInt64() < 0)
    return base::fail(base::error_kind::BadRequest, "malformed answer");
  BOOST_OUTCOME_TRY(Changes, publication::changesFromJson(Answer["changes"]));
  const publication::serial Before = Items.latest();
  // A parent that lags proves nothing about what is in force here.
  if (Changes.Until < Before)
    return base::success();
  BOOST_OUTCOME_TRYV(Items.merge(Changes));
  if (Items.latest() != Before)
    onItemsChanged(Before, Now);
  Freshness.onAnswer(
      SentAt, std::chrono::milliseconds(Answer["proof_age_ms"].asInt64()));
  return base::success();
}

void knowledge::onItemsChanged(publication::serial Before, base::instant Now) {
  View = std::make_shared<directory::membership>(
      directory::membership::fromItems(Items));
  Ownership.onMembership(View, directory::changesSince(Items, Before), Now);
  if (const auto Section = Items.value(std::string(publication::SectionPrefix) +
                                       "policy.control")) {
    const auto Parsed = document::parseControlPolicy(*Section);
    if (Parsed.has_value())
      Policy = Parsed.value();
  }
  chooseParents();
  Changed.notify(Now);
}

std::string knowledge::section(const std::string &Name) const {
  const auto Value = Items.value(publication::SectionPrefix + Name);
  Json::Value Json;
  if (!Value || !Json::Reader().parse(*Value, Json) || !Json.isObject())
    return "";
  return Json["content"].asString();
}

base::result<Json::Value> knowledge::serveSync(const Json::Value &Parameters,
                                               base::instant Now) {
  if (!Parameters.isObject() || !Parameters["known_serial"].isUInt64() ||
      !Parameters["instances"].isArray())
    return base::fail(base::error_kind::BadRequest,
                      "entry.sync: expected known_serial and instances");
  for (const Json::Value &Report : Parameters["instances"]) {
    const auto Member = directory::memberFromJson(Report);
    if (!Member.has_value() || !Report["age_ms"].isUInt64())
      return base::fail(base::error_kind::BadRequest, "malformed report");
    const base::instant MadeAt =
        Now - std::chrono::milliseconds(Report["age_ms"].asUInt64());
    child_report &Child = Children[Member.value().Id.str()];
    if (Child.MadeAt <= MadeAt)
      Child = {.Report = Report, .MadeAt = MadeAt};
  }
  const auto Age = Freshness.age(Now);
  if (!Age)
    return base::fail(base::error_kind::StaleKnowledge,
                      "this entry has no proof yet");
  Json::Value Answer;
  Answer["proof_age_ms"] = Json::Int64(milliseconds(*Age) + 1);
  Answer["changes"] = publication::toJson(
      Items.changesSince(Parameters["known_serial"].asUInt64()));
  return Answer;
}

} // namespace fulmar::entry
