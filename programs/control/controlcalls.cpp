// The calls that the control task answers without waiting for the log, and
// the traffic with the other control instances.

#include "controltask.h"

#include "commandcodec.h"

#include "fulmar/controlstate/jsonconversion.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/StreamCopier.h>

#include <sstream>

namespace fulmar::control {

namespace {

constexpr auto DeliverTimeout = std::chrono::seconds(1);
constexpr auto ForwardInterval = std::chrono::milliseconds(400);
constexpr std::size_t DefaultHistory = 50;

std::string toBase64(const std::string &Bytes) {
  std::ostringstream Text;
  Poco::Base64Encoder Encoder(Text, Poco::BASE64_URL_ENCODING);
  Encoder << Bytes;
  Encoder.close();
  return Text.str();
}

base::result<std::string> fromBase64(const std::string &Text) {
  try {
    std::istringstream Stream(Text);
    Poco::Base64Decoder Decoder(Stream, Poco::BASE64_URL_ENCODING);
    std::string Bytes;
    Poco::StreamCopier::copyToString(Decoder, Bytes);
    return Bytes;
  } catch (const Poco::Exception &) {
    return base::fail(base::error_kind::BadRequest, "message: expected base64");
  }
}

std::int64_t milliseconds(base::duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

const std::map<std::string, control_task::handler> &control_task::handlers() {
  static const std::map<std::string, handler> Handlers = {
      {"consensus.deliver", &control_task::onDeliver},
      {"document.show", &control_task::onShow},
      {"document.history", &control_task::onHistory},
      {"control.force", &control_task::onForce},
      {"control.status", &control_task::onStatus},
      {"control.members", &control_task::onMembers},
      {"entry.sync", &control_task::onSync},
  };
  return Handlers;
}

std::vector<std::string> control_task::methods() {
  std::vector<std::string> Names = {"document.edit", "data_centre.set",
                                    "claim.claim",   "claim.settle",
                                    "crash.report",  "control.set_voters"};
  for (const auto &[Name, Handler] : handlers())
    Names.push_back(Name);
  return Names;
}

void control_task::send(const consensus::outgoing_message &Message) {
  const auto Link = Links.find(Message.To);
  if (Link == Links.end())
    return;
  Json::Value Parameters;
  Parameters["from"] = Options.Id;
  Parameters["message"] = toBase64(Message.Bytes);
  Link->second->post({.Method = "consensus.deliver",
                      .Parameters = std::move(Parameters),
                      .Timeout = DeliverTimeout,
                      .Completion = nullptr});
}

rpc_result control_task::onDeliver(const Json::Value &Parameters,
                                   base::instant Now) {
  BOOST_OUTCOME_TRY(From, textParameter(Parameters, "from"));
  BOOST_OUTCOME_TRY(Text, textParameter(Parameters, "message"));
  BOOST_OUTCOME_TRY(Bytes, fromBase64(Text));
  Log->deliver(From, Bytes, Now);
  return Json::Value(Json::objectValue);
}

rpc_result control_task::onShow(const Json::Value &Parameters,
                                base::instant /*Now*/) {
  const controlstate::edit_log &Edits = State.edits();
  std::uint64_t Revision = Edits.revision();
  if (Parameters.isMember("revision")) {
    BOOST_OUTCOME_TRY(Asked, numberParameter(Parameters, "revision"));
    Revision = Asked;
  }
  Json::Value Json;
  Json["revision"] = Json::UInt64(Revision);
  if (!Parameters.isMember("section")) {
    BOOST_OUTCOME_TRY(Text, Edits.documentAt(Revision));
    Json["content"] = Text;
    return Json;
  }
  BOOST_OUTCOME_TRY(Section, textParameter(Parameters, "section"));
  Json["number"] = Json::UInt64(Edits.currentNumber(Section));
  BOOST_OUTCOME_TRY(Text, Edits.sectionAt(Section, Revision));
  Json["content"] = Text;
  return Json;
}

rpc_result control_task::onHistory(const Json::Value &Parameters,
                                   base::instant /*Now*/) {
  const std::string Section =
      Parameters["section"].isString() ? Parameters["section"].asString() : "";
  const std::size_t Limit = Parameters["limit"].isUInt64()
                                ? Parameters["limit"].asUInt64()
                                : DefaultHistory;
  Json::Value Json;
  Json["edits"] = Json::Value(Json::arrayValue);
  for (const auto &Edit : State.edits().history(Section, Limit)) {
    Json["edits"].append(controlstate::toJson(Edit));
  }
  return Json;
}

rpc_result control_task::onForce(const Json::Value &Parameters,
                                 base::instant Now) {
  if (!Leads.load())
    return notLeader(Leader);
  BOOST_OUTCOME_TRY(Serial, numberParameter(Parameters, "serial"));
  const leases::confirmation_report Report = Members.force(Serial, Now);
  Json::Value Json;
  Json["confirmed"] = Json::UInt64(Report.Confirmed);
  Json["waiting"] = Json::Value(Json::arrayValue);
  for (const base::instance_id &Instance : Report.Waiting)
    Json["waiting"].append(Instance.str());
  Json["expired"] = Json::UInt64(Report.Expired);
  return Json;
}

rpc_result control_task::onStatus(const Json::Value & /*Parameters*/,
                                  base::instant Now) {
  const consensus::log_status Status = Log->status(Now);
  Json::Value Json;
  Json["id"] = Status.Id;
  Json["role"] = consensus::nameOf(Status.Role);
  Json["term"] = Json::UInt64(Status.Term);
  Json["leader"] = Status.Leader;
  Json["commit"] = Json::UInt64(Status.Commit);
  Json["applied"] = Json::UInt64(Status.Applied);
  Json["snapshot"] = Json::UInt64(Status.LastSnapshot);
  Json["serial"] = Json::UInt64(State.published().latest());
  Json["revision"] = Json::UInt64(State.edits().revision());
  Json["data_centres"] = Json::Value(Json::objectValue);
  for (const auto &[Name, DataCentre] : State.dataCentres().states())
    Json["data_centres"][Name] = DataCentre.InService ? "in" : "out";
  Json["formed"] = Status.Members.Formed;
  for (const consensus::member &Voter : Status.Members.Voters)
    Json["voters"].append(Voter.Id);
  for (const consensus::member &Learner : Status.Members.Learners)
    Json["learners"].append(Learner.Id);
  Json["survivable_disk_losses"] = Json::UInt64(
      consensus::survivableDiskLosses(Status.Members.Voters.size()));
  if (Status.ProofAge)
    Json["proof_age_ms"] = Json::Int64(milliseconds(*Status.ProofAge));
  return Json;
}

rpc_result control_task::onMembers(const Json::Value & /*Parameters*/,
                                   base::instant /*Now*/) {
  Json::Value Json;
  Json["epoch"] = Json::UInt64(State.members().epoch());
  Json["members"] = Json::Value(Json::arrayValue);
  for (const auto &[Id, Report] : State.members().all()) {
    Json["members"].append(controlstate::toJson(Report));
  }
  return Json;
}

rpc_result control_task::onSync(const Json::Value &Parameters,
                                base::instant Now) {
  BOOST_OUTCOME_TRY(Known, numberParameter(Parameters, "known_serial"));
  BOOST_OUTCOME_TRYV(Members.takeReports(Parameters["instances"], Now));
  const auto ProofAge = Log->proofAge(Now);
  if (!ProofAge)
    return base::fail(base::error_kind::NoQuorum,
                      "this instance has no proof of a quorum");
  Json::Value Json;
  // Rounded up: a proof may be called older than it is, never younger.
  Json["proof_age_ms"] = Json::Int64(milliseconds(*ProofAge) + 1);
  Json["changes"] = publication::toJson(State.published().changesSince(Known));
  return Json;
}

void control_task::forwardReports(base::instant Now) {
  if (Leads.load() || Now - ForwardedAt < ForwardInterval)
    return;
  const auto Link = Links.find(Leader);
  if (Link == Links.end())
    return;
  ForwardedAt = Now;
  Json::Value Parameters;
  Parameters["instances"] = Members.reportsToForward(Now);
  if (Parameters["instances"].empty())
    return;
  Parameters["known_serial"] = Json::UInt64(State.published().latest());
  Link->second->post({.Method = "entry.sync",
                      .Parameters = std::move(Parameters),
                      .Timeout = DeliverTimeout,
                      .Completion = nullptr});
}

} // namespace fulmar::control
