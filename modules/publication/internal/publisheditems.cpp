// Changes and replication of the published items.

#include "fulmar/publication/publisheditems.h"

#include "fulmar/base/rendezvous.h"

#include <algorithm>
#include <utility>

namespace fulmar::publication {

namespace {

/// Number of removed items that are kept, so that replicas that lag behind can
/// be sent the removals.
constexpr std::size_t MaxRemovals = 4096;

std::uint64_t digestOf(const item &Item) {
  return Item.Value.empty()
             ? 0
             : base::digest(Item.Key, base::digest(Item.Value, Item.Serial));
}

std::uint64_t digestOf(const std::vector<item> &Items) {
  std::uint64_t Total = 0;
  for (const item &Item : Items)
    Total += digestOf(Item);
  return Total;
}

} // namespace

void published_items::put(const std::string &Key, std::string Value,
                          serial Serial) {
  const auto Found = Items.find(Key);
  const bool Unchanged =
      Found == Items.end() ? Value.empty() : Found->second.Value == Value;
  if (Unchanged)
    return;
  store({Key, Serial, std::move(Value)});
  Latest = std::max(Latest, Serial);
  pruneRemovals();
}

item published_items::store(item Changed) {
  item &Stored = Items[Changed.Key];
  Digest -= digestOf(Stored);
  Digest += digestOf(Changed);
  if (!Stored.Key.empty() && Stored.Value.empty())
    --RemovalCount;
  if (Changed.Value.empty())
    ++RemovalCount;
  return std::exchange(Stored, std::move(Changed));
}

void published_items::undoStore(const std::string &Key, item Replaced) {
  if (!Replaced.Key.empty()) {
    store(std::move(Replaced));
    return;
  }
  const auto Stored = Items.find(Key);
  Digest -= digestOf(Stored->second);
  if (Stored->second.Value.empty())
    --RemovalCount;
  Items.erase(Stored);
}

void published_items::pruneRemovals() {
  if (RemovalCount <= MaxRemovals)
    return;
  for (auto Entry = Items.begin(); Entry != Items.end();) {
    if (!Entry->second.Value.empty()) {
      ++Entry;
      continue;
    }
    PrunedUntil = std::max(PrunedUntil, Entry->second.Serial);
    Entry = Items.erase(Entry);
  }
  RemovalCount = 0;
}

const item *published_items::find(const std::string &Key) const {
  const auto Found = Items.find(Key);
  return Found == Items.end() || Found->second.Value.empty() ? nullptr
                                                             : &Found->second;
}

std::optional<std::string>
published_items::value(const std::string &Key) const {
  const item *Found = find(Key);
  return Found == nullptr ? std::nullopt : std::optional(Found->Value);
}

std::vector<item> published_items::withPrefix(const std::string &Prefix) const {
  std::vector<item> Matching;
  for (auto Entry = Items.lower_bound(Prefix);
       Entry != Items.end() && Entry->first.starts_with(Prefix); ++Entry) {
    if (!Entry->second.Value.empty())
      Matching.push_back(Entry->second);
  }
  return Matching;
}

changes published_items::changesSince(serial Known) const {
  const bool NeedsFullCopy = Known > Latest || Known < PrunedUntil;
  changes Changes{
      .Since = NeedsFullCopy ? 0 : Known, .Until = Latest, .Digest = Digest};
  for (const auto &[Key, Item] : Items) {
    const bool Included =
        Changes.Since == 0 ? !Item.Value.empty() : Item.Serial > Changes.Since;
    if (Included)
      Changes.Items.push_back(Item);
  }
  return Changes;
}

base::result<void> published_items::merge(const changes &Changes) {
  const bool UpToDate = Changes.Until == Latest && Changes.Digest == Digest;
  if (Changes.Until < Latest || UpToDate)
    return base::success();
  if (Changes.Since == 0) {
    if (digestOf(Changes.Items) != Changes.Digest)
      return base::fail(base::error_kind::Conflict, "digest does not match");
    published_items Copy;
    for (const item &Item : Changes.Items)
      Copy.store(Item);
    Copy.Latest = Changes.Until;
    Copy.PrunedUntil = Changes.Until;
    *this = std::move(Copy);
    return base::success();
  }
  if (Changes.Since > Latest)
    return base::fail(base::error_kind::Conflict,
                      "changes start after the latest serial " +
                          std::to_string(Latest));
  // Skips changes that were already merged: replies to earlier requests may
  // contain them again.
  std::vector<std::pair<std::string, item>> Replaced;
  for (const item &Item : Changes.Items) {
    if (Item.Serial > Latest)
      Replaced.emplace_back(Item.Key, store(Item));
  }
  if (Digest != Changes.Digest) {
    for (; !Replaced.empty(); Replaced.pop_back())
      undoStore(Replaced.back().first, std::move(Replaced.back().second));
    return base::fail(base::error_kind::Conflict, "digest does not match");
  }
  Latest = Changes.Until;
  pruneRemovals();
  return base::success();
}

Json::Value toJson(const changes &Changes) {
  Json::Value Json;
  Json["since"] = Json::UInt64(Changes.Since);
  Json["until"] = Json::UInt64(Changes.Until);
  Json["digest"] = Json::UInt64(Changes.Digest);
  Json["items"] = Json::Value(Json::arrayValue);
  for (const item &Item : Changes.Items) {
    Json::Value Entry;
    Entry["key"] = Item.Key;
    Entry["serial"] = Json::UInt64(Item.Serial);
    Entry["value"] = Item.Value;
    Json["items"].append(std::move(Entry));
  }
  return Json;
}

base::result<changes> changesFromJson(const Json::Value &Json) {
  const auto Malformed = [] {
    return base::fail(base::error_kind::BadRequest,
                      "malformed changes of published items");
  };
  if (!Json.isObject() || !Json["since"].isUInt64() ||
      !Json["until"].isUInt64() || !Json["digest"].isUInt64() ||
      !Json["items"].isArray())
    return Malformed();
  changes Changes{.Since = Json["since"].asUInt64(),
                  .Until = Json["until"].asUInt64(),
                  .Digest = Json["digest"].asUInt64()};
  for (const Json::Value &Entry : Json["items"]) {
    if (!Entry.isObject() || !Entry["key"].isString() ||
        !Entry["serial"].isUInt64() || !Entry["value"].isString())
      return Malformed();
    Changes.Items.push_back({Entry["key"].asString(),
                             Entry["serial"].asUInt64(),
                             Entry["value"].asString()});
  }
  return Changes;
}

} // namespace fulmar::publication
