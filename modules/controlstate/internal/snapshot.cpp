// Snapshots of the state, including the format of earlier versions.

#include "fulmar/controlstate/controlstate.h"

#include "fulmar/publication/changespacking.h"

#include <json/reader.h>

#include <memory>
#include <tuple>

namespace fulmar::controlstate {

namespace {

constexpr std::uint32_t SnapshotVersion = 2;
/// Has neither plan nor targets, and its published items are JSON text.
constexpr std::uint32_t LegacySnapshotVersion = 1;

struct snapshot_data {
  std::uint32_t Version = SnapshotVersion;
  std::uint64_t Index = 0;
  std::int64_t NowMs = 0;
  std::string Edits;
  std::string DataCentres;
  std::string Members;
  std::string Claims;
  std::string Crashes;
  publication::changes Published;
  std::string Plan;
  std::string Targets;
};

/// Layout of version 1, LegacySnapshotVersion.
struct snapshot_data_v1 {
  std::uint32_t Version = LegacySnapshotVersion;
  std::uint64_t Index = 0;
  std::int64_t NowMs = 0;
  std::string Edits;
  std::string DataCentres;
  std::string Members;
  std::string Claims;
  std::string Crashes;
  /// JSON text as read by publication::changesFromJson().
  std::string Published;
};

auto fieldsOf(snapshot_data &Item) {
  return std::tie(Item.Version, Item.Index, Item.NowMs, Item.Edits,
                  Item.DataCentres, Item.Members, Item.Claims, Item.Crashes,
                  Item.Published, Item.Plan, Item.Targets);
}

auto fieldsOf(snapshot_data_v1 &Item) {
  return std::tie(Item.Version, Item.Index, Item.NowMs, Item.Edits,
                  Item.DataCentres, Item.Members, Item.Claims, Item.Crashes,
                  Item.Published);
}

base::result<publication::changes>
parsePublishedItems(const std::string &Text) {
  Json::Value Json;
  std::string Faults;
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Json, &Faults))
    return base::fail(base::error_kind::Corrupt, Faults);
  return publication::changesFromJson(Json);
}

base::result<snapshot_data> decodeSnapshot(std::string_view Snapshot) {
  auto Form = claims::unpackValue<snapshot_data>(Snapshot);
  if (Form && Form.value().Version == SnapshotVersion)
    return Form;
  BOOST_OUTCOME_TRY(First, claims::unpackValue<snapshot_data_v1>(Snapshot));
  if (First.Version != LegacySnapshotVersion)
    return base::fail(base::error_kind::Corrupt,
                      "unknown snapshot version " +
                          std::to_string(First.Version));
  BOOST_OUTCOME_TRY(Published, parsePublishedItems(First.Published));
  return snapshot_data{.Index = First.Index,
                       .NowMs = First.NowMs,
                       .Edits = First.Edits,
                       .DataCentres = First.DataCentres,
                       .Members = First.Members,
                       .Claims = First.Claims,
                       .Crashes = First.Crashes,
                       .Published = std::move(Published),
                       .Plan = plan_table().encode(),
                       .Targets = target_table().encode()};
}

} // namespace

std::string control_state::snapshot() const {
  return claims::packValue(snapshot_data{.Index = Index,
                                         .NowMs = NowMs,
                                         .Edits = Edits.encode(),
                                         .DataCentres = DataCentres.encode(),
                                         .Members = Members.encode(),
                                         .Claims = Claims.encode(),
                                         .Crashes = Crashes.encode(),
                                         .Published = Published.changesSince(0),
                                         .Plan = Plan.encode(),
                                         .Targets = Targets.encode()});
}

base::result<void> control_state::restore(std::string_view Snapshot) {
  BOOST_OUTCOME_TRY(Form, decodeSnapshot(Snapshot));
  control_state Restored;
  Restored.Index = Form.Index;
  Restored.NowMs = Form.NowMs;
  BOOST_OUTCOME_TRYV(Restored.Edits.decode(Form.Edits));
  BOOST_OUTCOME_TRYV(Restored.DataCentres.decode(Form.DataCentres));
  BOOST_OUTCOME_TRYV(Restored.Members.decode(Form.Members));
  BOOST_OUTCOME_TRYV(Restored.Claims.decode(Form.Claims));
  BOOST_OUTCOME_TRYV(Restored.Crashes.decode(Form.Crashes));
  BOOST_OUTCOME_TRYV(Restored.Plan.decode(Form.Plan));
  BOOST_OUTCOME_TRYV(Restored.Targets.decode(Form.Targets));
  BOOST_OUTCOME_TRYV(Restored.Published.merge(Form.Published));
  Restored.reloadPolicy();
  Restored.ReadAccounts = ReadAccounts;
  // An instance of an earlier build has published the plan without its
  // accounts.
  const publication::item *PlanItem =
      Restored.Published.find(publication::PlanKey);
  if (PlanItem != nullptr)
    Restored.publishAccounts(PlanItem->Serial);
  *this = std::move(Restored);
  return base::success();
}

} // namespace fulmar::controlstate
