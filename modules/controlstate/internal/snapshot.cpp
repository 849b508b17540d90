// Encodes the whole state and reads it back.

#include "fulmar/controlstate/controlstate.h"

#include "fulmar/claims/packing.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <tuple>

namespace fulmar::controlstate {

namespace {

constexpr std::uint32_t SnapshotVersion = 1;

struct snapshot_form {
  std::uint32_t Version = SnapshotVersion;
  std::uint64_t Index = 0;
  std::int64_t NowMs = 0;
  std::string Edits;
  std::string DataCentres;
  std::string Members;
  std::string Claims;
  std::string Crashes;
  /// JSON as the published items travel.
  std::string Published;
};

auto fieldsOf(snapshot_form &Item) {
  return std::tie(Item.Version, Item.Index, Item.NowMs, Item.Edits,
                  Item.DataCentres, Item.Members, Item.Claims, Item.Crashes,
                  Item.Published);
}

std::string publishedText(const publication::published_items &Items) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, publication::toJson(Items.changesSince(0)));
}

base::result<publication::published_items>
publishedFrom(const std::string &Text) {
  Json::Value Json;
  std::string Faults;
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Json, &Faults))
    return base::fail(base::error_kind::Corrupt, Faults);
  BOOST_OUTCOME_TRY(Changes, publication::changesFromJson(Json));
  publication::published_items Items;
  BOOST_OUTCOME_TRYV(Items.merge(Changes));
  return Items;
}

} // namespace

std::string control_state::snapshot() const {
  return claims::packValue(
      snapshot_form{.Index = Index,
                    .NowMs = NowMs,
                    .Edits = Edits.encode(),
                    .DataCentres = DataCentres.encode(),
                    .Members = Members.encode(),
                    .Claims = Claims.encode(),
                    .Crashes = Crashes.encode(),
                    .Published = publishedText(Published)});
}

base::result<void> control_state::restore(std::string_view Snapshot) {
  BOOST_OUTCOME_TRY(Form, claims::unpackValue<snapshot_form>(Snapshot));
  if (Form.Version != SnapshotVersion)
    return base::fail(base::error_kind::Corrupt,
                      "snapshot of unknown version " +
                          std::to_string(Form.Version));
  control_state Restored;
  Restored.Index = Form.Index;
  Restored.NowMs = Form.NowMs;
  BOOST_OUTCOME_TRYV(Restored.Edits.decode(Form.Edits));
  BOOST_OUTCOME_TRYV(Restored.DataCentres.decode(Form.DataCentres));
  BOOST_OUTCOME_TRYV(Restored.Members.decode(Form.Members));
  BOOST_OUTCOME_TRYV(Restored.Claims.decode(Form.Claims));
  BOOST_OUTCOME_TRYV(Restored.Crashes.decode(Form.Crashes));
  BOOST_OUTCOME_TRY(Items, publishedFrom(Form.Published));
  Restored.Published = std::move(Items);
  Restored.readPolicy();
  *this = std::move(Restored);
  return base::success();
}

} // namespace fulmar::controlstate
