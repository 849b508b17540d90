// JSON encoding of announcements and members.

#include "fulmar/directory/directorytypes.h"

#include "jsonreader.h"
#include "statenames.h"

#include <limits>

namespace fulmar::directory {

namespace {

constexpr auto AnySequence = std::numeric_limits<std::uint64_t>::max();

} // namespace

Json::Value toJson(const announcement &Announcement) {
  Json::Value Json;
  Json["id"] = Announcement.Id.str();
  Json["service"] = Announcement.Service.str();
  Json["data_centre"] = Announcement.DataCentre.str();
  Json["address"] = Announcement.Address;
  Json["incarnation"] = Announcement.Incarnation;
  Json["state"] = stateName(Announcement.State);
  Json["slots"] = Announcement.Slots;
  Json["connections"] = Announcement.Connections;
  Json["bears"] = Announcement.MaxInFlight;
  Json["load"] = Announcement.Load;
  Json["in_flight"] = Announcement.InFlight;
  if (Announcement.Sequence != 0)
    Json["sequence"] = Json::UInt64(Announcement.Sequence);
  return Json;
}

base::result<announcement> announcementFromJson(const Json::Value &Json) {
  json_reader Reader(Json, "announcement");
  announcement Read{
      .Id = base::target_id(Reader.text("id")),
      .Service = base::service_name(Reader.text("service")),
      .DataCentre = base::data_centre_name(Reader.text("data_centre")),
      .Address = Reader.address("address"),
      .Incarnation = Reader.text("incarnation"),
      .State = readState(Reader),
      .Slots = Reader.count("slots"),
      .Connections = Reader.count("connections"),
      .MaxInFlight = Reader.count("bears"),
      .Load = Reader.fraction("load"),
      .InFlight = Reader.count("in_flight"),
      .Sequence = Reader.numberOr("sequence", AnySequence, 0),
  };
  return Reader.finish(std::move(Read));
}

Json::Value toJson(const member &Member) {
  Json::Value Json;
  Json["id"] = Member.Id.str();
  Json["incarnation"] = Member.Incarnation;
  Json["data_centre"] = Member.DataCentre.str();
  if (!Member.Region.empty())
    Json["region"] = Member.Region;
  Json["address"] = Member.Address;
  Json["rpc_address"] = Member.RpcAddress;
  Json["stopping"] = Member.Stopping;
  return Json;
}

base::result<member> memberFromJson(const Json::Value &Json) {
  json_reader Reader(Json, "member");
  member Read{
      .Id = base::instance_id(Reader.text("id")),
      .Incarnation = Reader.text("incarnation"),
      .DataCentre = base::data_centre_name(Reader.text("data_centre")),
      .Region = Reader.textOr("region", ""),
      .Address = Reader.address("address"),
      .RpcAddress = Reader.address("rpc_address"),
      .Stopping = Reader.boolean("stopping"),
  };
  return Reader.finish(std::move(Read));
}

} // namespace fulmar::directory
