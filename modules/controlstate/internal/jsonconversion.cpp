// JSON fields of replies, edits and member reports.

#include "fulmar/controlstate/jsonconversion.h"

#include <array>
#include <utility>

namespace fulmar::controlstate {

namespace {

const char *nameOf(edit_outcome Outcome) {
  switch (Outcome) {
  case edit_outcome::Accepted:
    return "accepted";
  case edit_outcome::Conflict:
    return "conflict";
  case edit_outcome::Refused:
    return "refused";
  }
  return "refused";
}

using string_field = std::pair<const char *, std::string member_report::*>;

constexpr std::array<string_field, 5> MemberStringFields = {
    {{"id", &member_report::Id},
     {"incarnation", &member_report::Incarnation},
     {"data_centre", &member_report::DataCentre},
     {"address", &member_report::Address},
     {"rpc_address", &member_report::RpcAddress}}};

} // namespace

Json::Value toJson(const edit_reply &Reply) {
  Json::Value Json;
  Json["outcome"] = nameOf(Reply.Outcome);
  Json["revision"] = Json::UInt64(Reply.Revision);
  Json["serial"] = Json::UInt64(Reply.Serial);
  Json["message"] = Reply.Message;
  Json["repeated"] = Reply.Repeated;
  Json["in_force"]["number"] = Json::UInt64(Reply.CurrentNumber);
  Json["in_force"]["content"] = Reply.CurrentContent;
  Json["in_force"]["author"] = Reply.CurrentAuthor;
  return Json;
}

Json::Value toJson(const data_centre_reply &Reply) {
  Json::Value Json;
  Json["serial"] = Json::UInt64(Reply.Serial);
  Json["state"] = Reply.InService ? "in" : "out";
  Json["repeated"] = Reply.Repeated;
  return Json;
}

Json::Value toJson(const crash_reply &Reply) {
  Json::Value Json;
  Json["crashes"] = Json::UInt64(Reply.Crashes);
  Json["quarantined"] = Reply.Quarantined;
  return Json;
}

Json::Value toJson(const edit_record &Record) {
  Json::Value Json;
  Json["revision"] = Json::UInt64(Record.Revision);
  Json["section"] = Record.Section;
  Json["number"] = Json::UInt64(Record.Number);
  Json["author"] = Record.Author;
  Json["removed"] = Record.Content.empty();
  return Json;
}

Json::Value toJson(const member_report &Report) {
  Json::Value Json;
  for (const auto &[Name, Member] : MemberStringFields)
    Json[Name] = Report.*Member;
  if (!Report.Region.empty())
    Json["region"] = Report.Region;
  Json["stopping"] = Report.Stopping;
  return Json;
}

base::result<member_report> memberFromJson(const Json::Value &Json) {
  member_report Report;
  if (!Json.isObject())
    return base::fail(base::error_kind::BadRequest, "a member is an object");
  for (const auto &[Name, Member] : MemberStringFields) {
    if (!Json[Name].isString())
      return base::fail(base::error_kind::BadRequest,
                        std::string("a member needs the text ") + Name);
    Report.*Member = Json[Name].asString();
  }
  if (Json.isMember("region") && !Json["region"].isString())
    return base::fail(base::error_kind::BadRequest,
                      "a member's region is a text");
  Report.Region = Json["region"].asString();
  if (!Json["stopping"].isBool())
    return base::fail(base::error_kind::BadRequest,
                      "a member needs the boolean stopping");
  Report.Stopping = Json["stopping"].asBool();
  return Report;
}

base::result<data_centre_action>
parseDataCentreAction(const std::string &Text) {
  if (Text == "leave")
    return data_centre_action::Leave;
  if (Text == "return")
    return data_centre_action::Return;
  return base::fail(base::error_kind::BadRequest,
                    "the action is leave or return, not " + Text);
}

} // namespace fulmar::controlstate
