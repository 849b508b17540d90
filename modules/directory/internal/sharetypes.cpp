// JSON encoding of the share.sync messages.

#include "fulmar/directory/sharetypes.h"

#include "jsonreader.h"
#include "statenames.h"

#include <limits>

namespace fulmar::directory {

namespace {

constexpr auto AnySequence = std::numeric_limits<std::uint64_t>::max();

/// Indexed by observation_kind.
const std::vector<std::string_view> &kindNames() {
  static const std::vector<std::string_view> Names = {
      "reset", "incarnation-differs", "slow", "shed"};
  return Names;
}

Json::Value elementJson(const service_demand &Demand) {
  Json::Value Json;
  Json["service"] = Demand.Service.str();
  Json["wanted"] = Demand.Wanted;
  return Json;
}

Json::Value elementJson(const target_in_flight &InFlight) {
  Json::Value Json;
  Json["target"] = InFlight.Target.str();
  Json["incarnation"] = InFlight.Incarnation;
  Json["count"] = InFlight.Count;
  return Json;
}

Json::Value elementJson(const observation &Observation) {
  Json::Value Json;
  Json["target"] = Observation.Target.str();
  Json["incarnation"] = Observation.Incarnation;
  Json["kind"] =
      std::string(kindNames()[static_cast<std::size_t>(Observation.Kind)]);
  if (!Observation.SeenIncarnation.empty())
    Json["seen"] = Observation.SeenIncarnation;
  return Json;
}

Json::Value elementJson(const grant &Grant) {
  Json::Value Json;
  Json["target"] = Grant.Target.str();
  Json["service"] = Grant.Service.str();
  Json["data_centre"] = Grant.DataCentre.str();
  Json["address"] = Grant.Address;
  Json["incarnation"] = Grant.Incarnation;
  Json["state"] = stateName(Grant.State);
  Json["granted"] = Grant.Granted;
  Json["load"] = Grant.Load;
  Json["report_age_us"] = Json::Int64(Grant.ReportAge.count());
  return Json;
}

template <typename Element>
Json::Value listOf(const std::vector<Element> &All) {
  Json::Value List(Json::arrayValue);
  for (const Element &One : All)
    List.append(elementJson(One));
  return List;
}

service_demand readDemand(json_reader &Reader) {
  return {.Service = base::service_name(Reader.text("service")),
          .Wanted = Reader.count("wanted")};
}

target_in_flight readInFlight(json_reader &Reader) {
  return {.Target = base::target_id(Reader.text("target")),
          .Incarnation = Reader.text("incarnation"),
          .Count = Reader.count("count")};
}

observation readObservation(json_reader &Reader) {
  return {.Target = base::target_id(Reader.text("target")),
          .Incarnation = Reader.text("incarnation"),
          .Kind =
              static_cast<observation_kind>(Reader.choice("kind", kindNames())),
          .SeenIncarnation = Reader.textOr("seen", "")};
}

grant readGrant(json_reader &Reader) {
  return {
      .Target = base::target_id(Reader.text("target")),
      .Service = base::service_name(Reader.text("service")),
      .DataCentre = base::data_centre_name(Reader.text("data_centre")),
      .Address = Reader.address("address"),
      .Incarnation = Reader.text("incarnation"),
      .State = readState(Reader),
      .Granted = Reader.count("granted"),
      .Load = Reader.fraction("load"),
      .ReportAge = Reader.microseconds("report_age_us"),
  };
}

} // namespace

Json::Value toJson(const share_request &Request) {
  Json::Value Json;
  Json["entry"] = Request.Entry.str();
  Json["incarnation"] = Request.Incarnation;
  Json["sequence"] = Json::UInt64(Request.Sequence);
  Json["applied"] = Json::UInt64(Request.Applied);
  Json["sent_at_us"] = Json::Int64(Request.SentAt.count());
  Json["demands"] = listOf(Request.Demands);
  Json["in_flight"] = listOf(Request.InFlight);
  Json["observations"] = listOf(Request.Observations);
  return Json;
}

Json::Value toJson(const share_answer &Answer) {
  Json::Value Json;
  Json["sequence"] = Json::UInt64(Answer.Sequence);
  Json["grants"] = listOf(Answer.Grants);
  return Json;
}

base::result<share_request> shareRequestFromJson(const Json::Value &Json) {
  json_reader Reader(Json, "share_request");
  share_request Read{
      .Entry = base::instance_id(Reader.text("entry")),
      .Incarnation = Reader.text("incarnation"),
      .Sequence = Reader.number("sequence", AnySequence),
      .Applied = Reader.number("applied", AnySequence),
      .SentAt = Reader.microseconds("sent_at_us"),
      .Demands = Reader.list("demands", readDemand),
      .InFlight = Reader.list("in_flight", readInFlight),
      .Observations = Reader.list("observations", readObservation),
  };
  return Reader.finish(std::move(Read));
}

base::result<share_answer> shareAnswerFromJson(const Json::Value &Json) {
  json_reader Reader(Json, "share_answer");
  share_answer Read{.Sequence = Reader.number("sequence", AnySequence),
                    .Grants = Reader.list("grants", readGrant)};
  return Reader.finish(std::move(Read));
}

} // namespace fulmar::directory
