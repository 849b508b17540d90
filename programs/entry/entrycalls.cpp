// The methods that an entry answers to other processes, callers and targets.

#include "entrytask.h"

#include "fulmar/base/rendezvous.h"

namespace fulmar::entry {

namespace {

constexpr std::size_t MaxEntriesNamed = 8;

} // namespace

const std::map<std::string, entry_task::handler> &entry_task::handlers() {
  static const std::map<std::string, handler> Handlers = {
      {"entry.sync", &entry_task::onSync},
      {"share.sync", &entry_task::onShareSync},
      {"announce.relay", &entry_task::onAnnounceRelay},
      {"announce", &entry_task::onAnnounce},
      {"entries", &entry_task::onEntries},
      {"entry.status", &entry_task::onStatus},
  };
  return Handlers;
}

std::vector<std::string> entry_task::rpcMethods() {
  return {"entry.sync", "share.sync", "announce.relay", "entry.status"};
}

void entry_task::take(const rpc_call &Call, base::instant Now) {
  const auto Found = handlers().find(Call.Method);
  if (Found == handlers().end())
    return Call.Responder->set(
        base::error{base::error_kind::UnknownMethod, Call.Method});
  (this->*Found->second)(Call, Now);
}

void entry_task::onSync(const rpc_call &Call, base::instant Now) {
  Call.Responder->set(Knowledge.serveSync(Call.Parameters, Now));
}

void entry_task::onShareSync(const rpc_call &Call, base::instant Now) {
  Call.Responder->set(Shares.serve(Call.Parameters, Now));
}

void entry_task::onAnnounceRelay(const rpc_call &Call, base::instant Now) {
  Call.Responder->set(Shares.keep(Call.Parameters, Now));
}

void entry_task::onAnnounce(const rpc_call &Call, base::instant Now) {
  Shares.announce(
      Call.Parameters,
      [Responder = Call.Responder](const base::result<void> &Outcome) {
        if (Outcome.has_value())
          Responder->set(Json::Value(Json::objectValue));
        else
          Responder->set(Outcome.error());
      },
      Now);
}

std::vector<std::string>
entry_task::entriesFor(const base::service_name &Service) const {
  const std::vector<base::data_centre_name> Nearest = {
      Knowledge.self().DataCentre};
  // Each answering entry orders the others differently, so callers spread.
  const std::uint64_t Seed = base::digest(Knowledge.self().Id.str());
  std::vector<std::string> Addresses;
  for (const directory::member &Entry :
       Knowledge.view().entriesForCallers(Service, Nearest, Seed)) {
    if (Stopping && Entry.Id == Knowledge.self().Id)
      continue;
    Addresses.push_back(Entry.Address);
    if (Addresses.size() == MaxEntriesNamed)
      break;
  }
  return Addresses;
}

void entry_task::onEntries(const rpc_call &Call, base::instant Now) {
  if (!Knowledge.freshness().mayStartWork(Now))
    return Call.Responder->set(
        base::error{base::error_kind::StaleKnowledge,
                    "this entry has no recent proof of what is in force"});
  const base::service_name Service(Call.Parameters["service"].asString());
  if (!Service.empty() && !Desk.knows(Service))
    return Call.Responder->set(
        base::error{base::error_kind::UnknownService,
                    "service '" + Service.str() + "' is not in the document"});
  Json::Value Json;
  Json["entries"] = Json::Value(Json::arrayValue);
  for (const std::string &Address : entriesFor(Service))
    Json["entries"].append(Address);
  Json["keep_ms"] = Json::Int64(Knowledge.policy().EntriesAnswer.count());
  Call.Responder->set(Json);
}

void entry_task::onStatus(const rpc_call &Call, base::instant Now) {
  Json::Value Json;
  Json["id"] = Knowledge.self().Id.str();
  Json["serial"] = Json::UInt64(Knowledge.items().latest());
  Json["permission"] = Knowledge.freshness().mayStartWork(Now);
  Json["stopping"] = Stopping;
  Json["parent"] = Knowledge.parent(Now);
  Json["owned"] = Json::Value(Json::arrayValue);
  for (const directory::target_status &Status : Shares.owner().status(Now)) {
    Json::Value Target = directory::toJson(Status.Announced);
    Target["capacity"] = Status.Capacity;
    Target["committed"] = Status.Committed;
    Target["suspected"] = Status.Suspected;
    Json["owned"].append(std::move(Target));
  }
  Call.Responder->set(Json);
}

} // namespace fulmar::entry
