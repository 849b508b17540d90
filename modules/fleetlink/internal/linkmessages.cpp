// Encoding of the link's messages.

#include "fulmar/fleetlink/linkmessages.h"

#include "fulmar/claims/variantpacking.h"
#include "fulmar/controlstate/commandpacking.h"
#include "fulmar/publication/changespacking.h"

namespace fulmar::fleetlink {

static auto fieldsOf(entry_notice &Item) {
  return std::tie(Item.Report, Item.Ready);
}
static auto fieldsOf(fetch_request &Item) { return std::tie(Item.Since); }
static auto fieldsOf(fetch_reply &Item) { return std::tie(Item.Changes); }
static auto fieldsOf(log_notice &Item) {
  return std::tie(Item.Latest, Item.ProofAgeMs);
}
static auto fieldsOf(control_notice &Item) {
  return std::tie(Item.DataCentre, Item.Controls);
}
static auto fieldsOf(entry_alive & /*Item*/) { return std::tie(); }
static auto fieldsOf(crash_notice &Item) { return std::tie(Item.Crash); }
static auto fieldsOf(log_message &Item) {
  return std::tie(Item.From, Item.Bytes);
}
static auto fieldsOf(join_request &Item) { return std::tie(Item.Id); }
static auto fieldsOf(call_request &Item) {
  return std::tie(Item.From, Item.Id, Item.Call, Item.Command);
}
static auto fieldsOf(call_reply &Item) {
  return std::tie(Item.Id, Item.Succeeded, Item.ErrorKind, Item.Message,
                  Item.Reply);
}
static auto fieldsOf(liveness_notice &Item) { return std::tie(Item.Targets); }
static constexpr leader_call lastOf(leader_call /*Kind*/) {
  return leader_call::ReadDocument;
}

std::string encodeLink(const link_message &Message) {
  return claims::packValue(Message);
}

base::result<link_message> decodeLink(std::string_view Bytes) {
  return claims::unpackValue<link_message>(Bytes);
}

} // namespace fulmar::fleetlink
