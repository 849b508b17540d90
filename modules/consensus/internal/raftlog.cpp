// Updates entries, snapshot and configurations together.

#include "fulmar/consensus/raftlog.h"

#include <algorithm>

namespace fulmar::consensus {

std::optional<log_term> raft_log::termAt(log_index Index) const {
  if (Index == BaseIndex)
    return BaseTerm;
  if (Index < BaseIndex || Index > lastIndex())
    return std::nullopt;
  return at(Index).Term;
}

std::vector<entry> raft_log::slice(log_index From, log_index Until,
                                   std::size_t MaxEntries,
                                   std::size_t MaxBytes) const {
  std::vector<entry> Slice;
  std::size_t Bytes = 0;
  for (log_index Index = From; Index <= std::min(Until, lastIndex()); ++Index) {
    const entry &Entry = at(Index);
    Bytes += Entry.Payload.size();
    if (!Slice.empty() && (Slice.size() >= MaxEntries || Bytes > MaxBytes))
      break;
    Slice.push_back(Entry);
  }
  return Slice;
}

void raft_log::append(entry Entry) {
  if (Entry.kind() == entry_kind::Configuration) {
    if (auto Members = decodeConfiguration(Entry.Payload))
      Configurations.push_back({Entry.Index, std::move(Members.value())});
  }
  Entries.push_back(std::move(Entry));
}

void raft_log::truncateFrom(log_index Index) {
  while (lastIndex() >= Index && !Entries.empty())
    Entries.pop_back();
  while (Configurations.size() > 1 && Configurations.back().Index >= Index)
    Configurations.pop_back();
}

void raft_log::compact(std::shared_ptr<const snapshot> NewSnapshot,
                       std::size_t Trailing) {
  Snapshot = std::move(NewSnapshot);
  const log_index NewBase =
      Snapshot->Index > Trailing ? Snapshot->Index - Trailing : 0;
  while (BaseIndex < NewBase && !Entries.empty()) {
    BaseIndex = Entries.front().Index;
    BaseTerm = Entries.front().Term;
    Entries.pop_front();
  }
  while (Configurations.size() > 1 &&
         Configurations[1].Index <= Snapshot->Index)
    Configurations.erase(Configurations.begin());
}

void raft_log::reset(std::shared_ptr<const snapshot> Installed) {
  Snapshot = std::move(Installed);
  Entries.clear();
  BaseIndex = Snapshot->Index;
  BaseTerm = Snapshot->Term;
  Configurations = {{Snapshot->Index, Snapshot->Members}};
}

const configuration &raft_log::members() const {
  return Configurations.back().Members;
}

const configuration &raft_log::membersAt(log_index Index) const {
  const indexed_configuration *Found = &Configurations.front();
  for (const indexed_configuration &Candidate : Configurations) {
    if (Candidate.Index <= Index)
      Found = &Candidate;
  }
  return Found->Members;
}

log_index raft_log::membersIndex() const { return Configurations.back().Index; }

} // namespace fulmar::consensus
