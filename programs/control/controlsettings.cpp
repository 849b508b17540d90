// The schema of a control instance's settings file.

#include "controlsettings.h"

#include "fulmar/document/token.h"

namespace fulmar::control {

settings::schema controlSchema() {
  using settings::value_type;
  return {
      {.Section = "instance",
       .Key = "id",
       .Type = value_type::Name,
       .Required = true,
       .Help = "name of this instance, a key of [peers]"},
      {.Section = "instance",
       .Key = "listen",
       .Type = value_type::Address,
       .Required = true,
       .Help = "IP:PORT for JSON-RPC and /metrics"},
      {.Section = "instance",
       .Key = "data_folder",
       .Type = value_type::Folder,
       .Required = true,
       .Help = "folder on a disk for the journal"},
      {.Section = "cluster",
       .Key = "bootstrap",
       .Type = value_type::Integer,
       .Default = "0",
       .Maximum = 1,
       .Help = "1 forms a new cluster when every instance's folder is empty"},
      {.Section = "peers",
       .Key = settings::AnyKey,
       .Type = value_type::Address,
       .Help = "id = IP:PORT of every control instance"},
      {.Section = "administrator",
       .Key = "token_hash",
       .Required = true,
       .Help = "printed by fulmarctl hash-token"},
  };
}

std::vector<std::string> checkControlSettings(const settings::settings &Read) {
  std::vector<std::string> Faults;
  const std::string Id = Read.text("instance", "id");
  const auto Peers = Read.section("peers");
  const auto Self = Peers.find(Id);
  if (Self == Peers.end())
    Faults.push_back("[peers] " + Id +
                     " = '': expected this instance's own address too");
  else if (Self->second != Read.text("instance", "listen"))
    Faults.push_back("[peers] " + Id + " = '" + Self->second +
                     "': expected the address of [instance] listen");
  if (!document::isTokenHash(Read.text("administrator", "token_hash")))
    Faults.push_back("[administrator] token_hash: expected the output of "
                     "fulmarctl hash-token");
  return Faults;
}

control_options controlOptions(const settings::settings &Read) {
  return {.Id = Read.text("instance", "id"),
          .Listen = Read.text("instance", "listen"),
          .DataFolder = Read.text("instance", "data_folder"),
          .Bootstrap = Read.integer("cluster", "bootstrap") == 1,
          .Peers = Read.section("peers"),
          .AdministratorHash = Read.text("administrator", "token_hash")};
}

} // namespace fulmar::control
