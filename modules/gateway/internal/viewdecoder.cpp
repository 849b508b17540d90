// Decodes what has changed and gathers the view.

#include "fulmar/gateway/viewdecoder.h"

#include "fulmar/telemetry/log.h"

#include <json/reader.h>
#include <json/value.h>

namespace fulmar::gateway {

namespace {

Json::Value parse(const std::string &Text) {
  Json::Value Value;
  std::string Faults;
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Faults))
    return {};
  return Value;
}

std::string nameIn(const publication::item &Item, std::string_view Prefix) {
  return Item.Key.substr(Prefix.size());
}

} // namespace

void view_decoder::decodePlan(const publication::published_items &Items) {
  const publication::item *Item = Items.find(publication::PlanKey);
  if (Item == nullptr || Item->Serial == PlanSerial)
    return;
  PlanSerial = Item->Serial;
  ++Decoded;
  auto Read = fleet::decodePlan(Item->Value);
  if (!Read)
    telemetry::logChange(telemetry::log_level::Error, "feed", "plan-malformed",
                         {{"error", Read.error().Message}});
  else if (!Plan || Read.value().Version > Plan->Version)
    Plan = std::make_shared<const fleet::routing_plan>(std::move(Read).value());
}

const view_decoder::decoded_target &
view_decoder::target(const publication::item &Item) {
  decoded_target &Held = Targets[Item.Key];
  if (Held.Serial == Item.Serial)
    return Held;
  ++Decoded;
  Held = {.Serial = Item.Serial};
  if (auto Report = fleet::decodeTarget(Item.Value))
    Held.Report = std::move(Report).value();
  else
    telemetry::logChange(
        telemetry::log_level::Error, "feed", "target-malformed",
        {{"item", Item.Key}, {"error", Report.error().Message}});
  return Held;
}

fleet_view view_decoder::decode(const publication::published_items &Items) {
  decodePlan(Items);
  fleet_view View{.Serial = Items.latest(), .Plan = Plan};
  for (const auto &Item : Items.withPrefix(publication::DataCentrePrefix)) {
    if (parse(Item.Value)["state"].asString() == "out")
      View.DataCentresOut.insert(nameIn(Item, publication::DataCentrePrefix));
  }
  std::set<std::string> Present;
  for (const auto &Item : Items.withPrefix(publication::TargetPrefix)) {
    Present.insert(Item.Key);
    const auto &Report = target(Item).Report;
    if (Report && Report->Phase == fleet::target_phase::Serving &&
        !View.DataCentresOut.contains(Report->DataCentre))
      View.Targets.push_back(*Report);
  }
  std::erase_if(Targets, [&Present](const auto &Entry) {
    return !Present.contains(Entry.first);
  });
  for (const auto &Item : Items.withPrefix(publication::MemberPrefix))
    View.Entries.push_back(nameIn(Item, publication::MemberPrefix));
  for (const auto &Item : Items.withPrefix(publication::QuarantinePrefix))
    View.Quarantined.insert(nameIn(Item, publication::QuarantinePrefix));
  return View;
}

} // namespace fulmar::gateway
