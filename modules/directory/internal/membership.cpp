#include "fulmar/directory/membership.h"

#include "fulmar/base/rendezvous.h"

#include <json/reader.h>

#include <algorithm>
#include <cstring>
#include <memory>

namespace fulmar::directory {

namespace {

using publication::item;
using publication::published_items;

/// Returns a null value if the text is not valid JSON.
Json::Value parse(const std::string &Text) {
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Json;
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Json, nullptr))
    return {};
  return Json;
}

std::string nameIn(const item &Item, const char *Prefix) {
  return Item.Key.substr(std::strlen(Prefix));
}

bool byId(const member &A, const member &B) { return A.Id < B.Id; }

} // namespace

membership_change changesSince(const published_items &Items,
                               publication::serial Known) {
  const publication::changes All = Items.changesSince(Known);
  membership_change Change{.Complete = Known != 0 && All.Since == Known};
  for (const item &Item : All.Items) {
    if (Item.Key.starts_with(publication::MemberPrefix))
      Change.Changed.emplace_back(nameIn(Item, publication::MemberPrefix));
  }
  return Change;
}

membership membership::fromItems(const published_items &Items) {
  membership View;
  View.Epoch = Items.latest();
  for (const item &Item : Items.withPrefix(publication::MemberPrefix))
    View.addMember(Item);
  for (const item &Item : Items.withPrefix(publication::DataCentrePrefix))
    View.addDataCentre(Item);
  View.index();
  return View;
}

void membership::addMember(const item &Item) {
  auto Read = memberFromJson(parse(Item.Value));
  if (!Read) {
    Faults.push_back(Item.Key + ": " + Read.error().Message);
    return;
  }
  if (Read.value().Id.str() != nameIn(Item, publication::MemberPrefix)) {
    Faults.push_back(Item.Key + ": belongs to another id");
    return;
  }
  Members.push_back(std::move(Read.value()));
}

void membership::addDataCentre(const item &Item) {
  const Json::Value Json = parse(Item.Value);
  const bool HasState = Json.isObject() && Json["state"].isString();
  const std::string State = HasState ? Json["state"].asString() : "";
  if (State == "in")
    return;
  if (State != "out")
    Faults.push_back(Item.Key + ": expected state in or out");
  // A data centre whose state cannot be read counts as out of service.
  OutOfServiceDataCentres.insert(
      base::data_centre_name(nameIn(Item, publication::DataCentrePrefix)));
}

void membership::index() {
  std::sort(Members.begin(), Members.end(), byId);
  for (const member &Member : Members) {
    if (Member.Stopping)
      continue;
    OwnerCandidates.push_back(Member.Id);
    OwnerCandidatesByDataCentre[Member.DataCentre].push_back(Member.Id);
  }
}

const member *membership::find(const base::instance_id &Id) const {
  const auto Found = std::lower_bound(
      Members.begin(), Members.end(), Id,
      [](const member &Member, const base::instance_id &Wanted) {
        return Member.Id < Wanted;
      });
  return Found != Members.end() && Found->Id == Id ? &*Found : nullptr;
}

bool membership::inService(const base::data_centre_name &DataCentre) const {
  return !OutOfServiceDataCentres.contains(DataCentre);
}

std::span<const base::instance_id>
membership::ownerCandidates(const base::data_centre_name &DataCentre) const {
  const auto Found = OwnerCandidatesByDataCentre.find(DataCentre);
  return Found == OwnerCandidatesByDataCentre.end() ? OwnerCandidates
                                                    : Found->second;
}

std::vector<member>
membership::entriesForCallers(const base::service_name &Service,
                              std::span<const base::data_centre_name> Nearest,
                              std::uint64_t Seed) const {
  std::vector<member> Usable;
  for (const member &Member : Members) {
    if (!Member.Stopping && inService(Member.DataCentre))
      Usable.push_back(Member);
  }
  const std::string Key = Service.str() + "/" + std::to_string(Seed);
  const auto Rank = [&](const member &Member) {
    const auto Found =
        std::find(Nearest.begin(), Nearest.end(), Member.DataCentre);
    return std::pair(Found - Nearest.begin(),
                     base::rendezvousWeight(Key, Member.Id.str()));
  };
  std::sort(
      Usable.begin(), Usable.end(),
      [&](const member &A, const member &B) { return Rank(A) < Rank(B); });
  return Usable;
}

std::optional<base::instance_id>
membership::relayOf(const base::data_centre_name &DataCentre) const {
  const auto Found = OwnerCandidatesByDataCentre.find(DataCentre);
  if (Found == OwnerCandidatesByDataCentre.end())
    return std::nullopt;
  return base::rendezvousHolder("relay/" + DataCentre.str(), Found->second);
}

std::optional<base::instance_id>
membership::regionRelayOf(const std::string &Region) const {
  std::vector<base::instance_id> Relays;
  for (const auto &[DataCentre, Entries] : OwnerCandidatesByDataCentre) {
    const auto Relay = relayOf(DataCentre);
    const member *Member = find(*Relay);
    if (Member->Region == Region)
      Relays.push_back(*Relay);
  }
  return base::rendezvousHolder("region/" + Region, Relays);
}

std::vector<member> membership::parentsOf(const base::instance_id &Self) const {
  std::vector<member> Parents;
  const member *Own = find(Self);
  if (Own == nullptr)
    return Parents;
  const auto Region = regionRelayOf(Own->Region);
  if (Region == Self)
    return Parents;
  const auto Relay = relayOf(Own->DataCentre);
  if (Relay && Relay != Self)
    Parents.push_back(*find(*Relay));
  if (Region && Region != Relay)
    Parents.push_back(*find(*Region));
  return Parents;
}

} // namespace fulmar::directory
