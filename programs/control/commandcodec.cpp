// The table from method to command and the visitor from reply to JSON.

#include "commandcodec.h"

#include "fulmar/controlstate/jsonconversion.h"

#include <map>

namespace fulmar::control {

namespace {

using controlstate::command_body;
using command_result = base::result<command_body>;

command_result buildEdit(const Json::Value &Parameters,
                         const controlstate::token_proof &Proof) {
  BOOST_OUTCOME_TRY(Author, textParameter(Parameters, "author"));
  BOOST_OUTCOME_TRY(Section, textParameter(Parameters, "section"));
  BOOST_OUTCOME_TRY(Number, numberParameter(Parameters, "number"));
  BOOST_OUTCOME_TRY(Content, textParameter(Parameters, "content"));
  BOOST_OUTCOME_TRYV(textParameter(Parameters, "token"));
  return command_body(controlstate::edit_command{.Author = Author,
                                                 .Section = Section,
                                                 .Number = Number,
                                                 .Content = Content,
                                                 .Proof = Proof});
}

command_result buildDataCentre(const Json::Value &Parameters,
                               const controlstate::token_proof &Proof) {
  BOOST_OUTCOME_TRY(Operation, textParameter(Parameters, "operation"));
  BOOST_OUTCOME_TRY(Name, textParameter(Parameters, "name"));
  BOOST_OUTCOME_TRY(Action, textParameter(Parameters, "action"));
  BOOST_OUTCOME_TRY(Author, textParameter(Parameters, "author"));
  BOOST_OUTCOME_TRYV(textParameter(Parameters, "token"));
  BOOST_OUTCOME_TRY(Change, controlstate::parseDataCentreAction(Action));
  return command_body(
      controlstate::data_centre_command{.OperationId = Operation,
                                        .Name = Name,
                                        .Action = Change,
                                        .Author = Author,
                                        .Proof = Proof});
}

base::result<claims::claim_request>
claimRequestOf(const Json::Value &Parameters) {
  BOOST_OUTCOME_TRY(Service, textParameter(Parameters, "service"));
  BOOST_OUTCOME_TRY(Key, textParameter(Parameters, "key"));
  BOOST_OUTCOME_TRY(Digest, numberParameter(Parameters, "digest"));
  BOOST_OUTCOME_TRY(Holder, textParameter(Parameters, "holder"));
  return claims::claim_request{.Service = base::service_name(Service),
                               .Key = Key,
                               .ContentDigest = Digest,
                               .Holder = Holder};
}

command_result buildClaim(const Json::Value &Parameters,
                          const controlstate::token_proof & /*Proof*/) {
  BOOST_OUTCOME_TRY(Request, claimRequestOf(Parameters));
  return command_body(controlstate::claim_command{Request});
}

base::result<claims::claim_end> claimEndOf(const Json::Value &Parameters) {
  static const std::map<std::string, claims::claim_end> Ends = {
      {"finished", claims::claim_end::Finished},
      {"not-run", claims::claim_end::NotRun},
      {"unknown", claims::claim_end::Unknown}};
  BOOST_OUTCOME_TRY(Name, textParameter(Parameters, "end"));
  const auto Found = Ends.find(Name);
  if (Found == Ends.end())
    return base::fail(base::error_kind::BadRequest,
                      "end = '" + Name +
                          "': expected finished, not-run or unknown");
  return Found->second;
}

command_result buildSettle(const Json::Value &Parameters,
                           const controlstate::token_proof & /*Proof*/) {
  BOOST_OUTCOME_TRY(Request, claimRequestOf(Parameters));
  BOOST_OUTCOME_TRY(End, claimEndOf(Parameters));
  controlstate::settle_claim_command Settle{.Request = Request, .End = End};
  if (Parameters.isMember("answer")) {
    const Json::Value &Answer = Parameters["answer"];
    BOOST_OUTCOME_TRY(Status, numberParameter(Answer, "status"));
    BOOST_OUTCOME_TRY(Type, textParameter(Answer, "content_type"));
    BOOST_OUTCOME_TRY(Body, textParameter(Answer, "body"));
    Settle.Answer = claims::recorded_answer{
        .Status = static_cast<int>(Status), .ContentType = Type, .Body = Body};
  }
  return command_body(Settle);
}

command_result buildCrash(const Json::Value &Parameters,
                          const controlstate::token_proof & /*Proof*/) {
  BOOST_OUTCOME_TRY(Fingerprint, textParameter(Parameters, "fingerprint"));
  BOOST_OUTCOME_TRY(Target, textParameter(Parameters, "target"));
  BOOST_OUTCOME_TRY(Incarnation, textParameter(Parameters, "incarnation"));
  return command_body(controlstate::crash_command{.Fingerprint = Fingerprint,
                                                  .Target = Target,
                                                  .Incarnation = Incarnation});
}

const char *nameOf(claims::claim_state State) {
  switch (State) {
  case claims::claim_state::Granted:
    return "granted";
  case claims::claim_state::InProgress:
    return "in-progress";
  case claims::claim_state::Recorded:
    return "recorded";
  case claims::claim_state::OutcomeUnknown:
    break;
  }
  return "outcome-unknown";
}

/// Writes each kind of reply as the JSON of its method's result.
struct reply_writer {
  using json_result = base::result<Json::Value>;

  json_result operator()(const controlstate::success_reply & /*Reply*/) const {
    return Json::Value(Json::objectValue);
  }

  json_result operator()(const controlstate::edit_reply &Reply) const {
    return controlstate::toJson(Reply);
  }

  json_result operator()(const controlstate::data_centre_reply &Reply) const {
    return controlstate::toJson(Reply);
  }

  json_result operator()(const controlstate::member_reply &Reply) const {
    Json::Value Json;
    Json["epoch"] = Json::UInt64(Reply.Epoch);
    return Json;
  }

  json_result operator()(const controlstate::claim_reply &Reply) const {
    Json::Value Json;
    Json["state"] = nameOf(Reply.Answer.State);
    if (Reply.Answer.Answer) {
      Json["answer"]["status"] = Reply.Answer.Answer->Status;
      Json["answer"]["content_type"] = Reply.Answer.Answer->ContentType;
      Json["answer"]["body"] = Reply.Answer.Answer->Body;
    }
    return Json;
  }

  json_result operator()(const controlstate::crash_reply &Reply) const {
    return controlstate::toJson(Reply);
  }

  json_result operator()(const controlstate::plan_reply &Reply) const {
    Json::Value Json;
    Json["version"] = Json::UInt64(Reply.Version);
    Json["changed"] = Reply.Changed;
    return Json;
  }

  json_result operator()(const controlstate::target_reply &Reply) const {
    Json::Value Json;
    Json["changed"] = Reply.Changed;
    return Json;
  }

  json_result operator()(const controlstate::error_reply &Reply) const {
    return base::fail(Reply.Error.Kind, Reply.Error.Message);
  }
};

} // namespace

base::result<std::string> textParameter(const Json::Value &Parameters,
                                        const char *Name) {
  if (!Parameters.isObject() || !Parameters[Name].isString())
    return base::fail(base::error_kind::BadRequest,
                      std::string(Name) + ": expected a text");
  return Parameters[Name].asString();
}

base::result<std::uint64_t> numberParameter(const Json::Value &Parameters,
                                            const char *Name) {
  if (!Parameters.isObject() || !Parameters[Name].isUInt64())
    return base::fail(base::error_kind::BadRequest,
                      std::string(Name) + ": expected a whole number");
  return Parameters[Name].asUInt64();
}

base::result<controlstate::command_body>
commandOf(const std::string &Method, const Json::Value &Parameters,
          const controlstate::token_proof &Proof) {
  using builder = command_result (*)(const Json::Value &,
                                     const controlstate::token_proof &);
  static const std::map<std::string, builder> Builders = {
      {"document.edit", buildEdit}, {"data_centre.set", buildDataCentre},
      {"claim.claim", buildClaim},  {"claim.settle", buildSettle},
      {"crash.report", buildCrash},
  };
  const auto Found = Builders.find(Method);
  if (Found == Builders.end())
    return base::fail(base::error_kind::UnknownMethod, Method);
  return Found->second(Parameters, Proof);
}

std::string sectionOf(const std::string &Method,
                      const Json::Value &Parameters) {
  if (Method == "data_centre.set")
    return "data-centre." + Parameters["name"].asString();
  return Parameters["section"].asString();
}

base::result<Json::Value> resultOf(const controlstate::reply &Reply) {
  return std::visit(reply_writer(), Reply);
}

} // namespace fulmar::control
