// The schema of an entry's settings file.

#include "entrysettings.h"

#include <Poco/UUIDGenerator.h>

namespace fulmar::entry {

settings::schema entrySchema() {
  using settings::value_type;
  return {
      {.Section = "instance",
       .Key = "id",
       .Type = value_type::Name,
       .Required = true,
       .Help = "name of this instance, unique in the system"},
      {.Section = "instance",
       .Key = "data_centre",
       .Type = value_type::Name,
       .Required = true,
       .Help = "data centre that this instance stands in"},
      {.Section = "instance",
       .Key = "region",
       .Default = "",
       .Help = "region of the data centre"},
      {.Section = "instance",
       .Key = "listen",
       .Type = value_type::Address,
       .Required = true,
       .Help = "IP:PORT for callers and targets"},
      {.Section = "instance",
       .Key = "rpc_listen",
       .Type = value_type::Address,
       .Required = true,
       .Help = "IP:PORT for the system's own processes and /metrics"},
      {.Section = "instance",
       .Key = "max_connections",
       .Type = value_type::Integer,
       .Default = "1024",
       .Minimum = 1,
       .Maximum = 65536,
       .Help = "connections of callers served at a time"},
      {.Section = "control",
       .Key = "addresses",
       .Type = value_type::AddressList,
       .Required = true,
       .Help = "IP:PORT of the control instances"},
  };
}

entry_options entryOptions(const settings::settings &Read) {
  const std::string Incarnation =
      Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
  const std::string Listen = Read.text("instance", "listen");
  const std::string RpcListen = Read.text("instance", "rpc_listen");
  return {.Self = {.Id = base::instance_id(Read.text("instance", "id")),
                   .Incarnation = Incarnation,
                   .DataCentre = base::data_centre_name(
                       Read.text("instance", "data_centre")),
                   .Region = Read.text("instance", "region"),
                   .Address = Listen,
                   .RpcAddress = RpcListen},
          .Listen = Listen,
          .RpcListen = RpcListen,
          .ControlAddresses = Read.list("control", "addresses"),
          .MaxConnections =
              static_cast<int>(Read.integer("instance", "max_connections")),
          .TraceFile = Read.text("trace", "file")};
}

} // namespace fulmar::entry
