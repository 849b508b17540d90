// Decodes changed items and assembles the view.

#include "fulmar/gateway/viewdecoder.h"

#include "fulmar/controlstate/jsonconversion.h"
#include "fulmar/telemetry/log.h"

#include <json/reader.h>
#include <json/value.h>

#include <algorithm>
#include <utility>

namespace fulmar::gateway {

namespace {

Json::Value parseJson(const std::string &Text) {
  Json::Value Value;
  std::string Faults;
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Faults))
    return {};
  return Value;
}

base::result<placement::relay_peer> decodeRelay(std::string_view Text) {
  BOOST_OUTCOME_TRY(Member,
                    controlstate::memberFromJson(parseJson(std::string(Text))));
  return placement::relay_peer{.Id = std::move(Member.Id),
                               .DataCentre = std::move(Member.DataCentre),
                               .Region = std::move(Member.Region),
                               .Address = std::move(Member.RpcAddress)};
}

std::string keySuffix(const publication::item &Item, std::string_view Prefix) {
  return Item.Key.substr(Prefix.size());
}

} // namespace

template <typename Value>
void view_decoder::updateItems(
    decoded_items<Value> &Cache, const publication::published_items &Items,
    const char *Prefix, base::result<Value> (*Decode)(std::string_view)) {
  std::set<std::string> Present;
  for (const publication::item &Item : Items.withPrefix(Prefix)) {
    Present.insert(Item.Key);
    decoded_item<Value> &Known = Cache[Item.Key];
    if (Known.Serial == Item.Serial)
      continue;
    ++Decoded;
    Known = {.Serial = Item.Serial};
    if (auto Read = Decode(Item.Value))
      Known.Content = std::move(Read).value();
    else
      telemetry::logChange(
          telemetry::log_level::Error, "feed", "item-malformed",
          {{"item", Item.Key}, {"error", Read.error().Message}});
  }
  std::erase_if(Cache, [&Present](const auto &Entry) {
    return !Present.contains(Entry.first);
  });
}

void view_decoder::decodePlan(const publication::published_items &Items) {
  const publication::item *Item = Items.find(publication::PlanKey);
  // Each change of a route is published together with a new version of the
  // plan.
  if (Item == nullptr || Item->Serial == PlanSerial)
    return;
  PlanSerial = Item->Serial;
  ++Decoded;
  auto Read = fleet::decodePlan(Item->Value);
  if (!Read) {
    telemetry::logChange(telemetry::log_level::Error, "feed", "plan-malformed",
                         {{"error", Read.error().Message}});
    return;
  }
  updateItems(Routes, Items, publication::RoutePrefix, &fleet::decodeRoute);
  if (Plan && Read.value().Version <= Plan->Version)
    return;
  for (const auto &[Key, Route] : Routes) {
    if (Route.Content)
      Read.value().Routes.push_back(*Route.Content);
  }
  Plan = std::make_shared<const fleet::routing_plan>(std::move(Read).value());
}

void view_decoder::decodeAccounts(const publication::published_items &Items) {
  const publication::item *Item = Items.find(publication::AccountsKey);
  // Instances of an earlier build do not publish the accounts: what was known
  // before stays in use.
  if (Item == nullptr || Item->Serial == AccountsSerial)
    return;
  AccountsSerial = Item->Serial;
  ++Decoded;
  auto Read = fleet::decodeAccounts(Item->Value);
  if (!Read)
    telemetry::logChange(telemetry::log_level::Error, "feed",
                         "accounts-malformed",
                         {{"error", Read.error().Message}});
  // Without readable accounts no key is known, and none is assumed.
  Accounts = std::make_shared<const fleet::account_set>(
      Read ? std::move(Read).value() : fleet::account_set{.Required = true});
}

void view_decoder::decodeRelays(const std::vector<publication::item> &Members) {
  std::pair<std::size_t, publication::serial> Present;
  for (const auto &Item : Members) {
    ++Present.first;
    Present.second = std::max(Present.second, Item.Serial);
  }
  if (std::exchange(RelaysBuiltFrom, Present) == Present)
    return;
  std::vector<placement::relay_peer> Peers;
  for (const auto &Item : Members) {
    auto Read = decodeRelay(Item.Value);
    if (!Read)
      telemetry::logChange(
          telemetry::log_level::Error, "feed", "item-malformed",
          {{"item", Item.Key}, {"error", Read.error().Message}});
    else if (!Read.value().Address.empty())
      Peers.push_back(std::move(Read).value());
  }
  Relays = std::make_shared<const std::vector<placement::relay_peer>>(
      std::move(Peers));
}

fleet_view view_decoder::decode(const publication::published_items &Items) {
  decodePlan(Items);
  decodeAccounts(Items);
  fleet_view View{.Serial = Items.latest(), .Plan = Plan, .Accounts = Accounts};
  for (const auto &Item : Items.withPrefix(publication::DataCentrePrefix)) {
    if (parseJson(Item.Value)["state"].asString() == "out")
      View.DataCentresOut.insert(
          keySuffix(Item, publication::DataCentrePrefix));
  }
  updateItems(Targets, Items, publication::TargetPrefix, &fleet::decodeTarget);
  for (const auto &[Key, Target] : Targets) {
    const auto &Report = Target.Content;
    if (Report && Report->Phase == fleet::target_phase::Serving &&
        !View.DataCentresOut.contains(Report->DataCentre))
      View.Targets.push_back(*Report);
  }
  const auto Members = Items.withPrefix(publication::MemberPrefix);
  for (const auto &Item : Members)
    View.Entries.push_back(keySuffix(Item, publication::MemberPrefix));
  decodeRelays(Members);
  View.Relays = Relays;
  for (const auto &Item : Items.withPrefix(publication::QuarantinePrefix))
    View.Quarantined.insert(keySuffix(Item, publication::QuarantinePrefix));
  return View;
}

} // namespace fulmar::gateway
