// The entries that a replica holds in memory: those behind the last snapshot
// and a bounded number before it, with the members at every position.

#ifndef FULMAR_CONSENSUS_RAFTLOG_H
#define FULMAR_CONSENSUS_RAFTLOG_H

#include "fulmar/consensus/messages.h"
#include "fulmar/consensus/snapshot.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace fulmar::consensus {

class raft_log {
public:
  [[nodiscard]] log_index lastIndex() const {
    return BaseIndex + Entries.size();
  }
  [[nodiscard]] log_term lastTerm() const {
    return Entries.empty() ? BaseTerm : Entries.back().Term;
  }
  /// Term at \p Index; empty where the log doesn't reach.
  [[nodiscard]] std::optional<log_term> termAt(log_index Index) const;
  /// Smallest index whose entry is held.
  [[nodiscard]] log_index firstIndex() const { return BaseIndex + 1; }
  [[nodiscard]] const entry &at(log_index Index) const {
    return Entries[Index - BaseIndex - 1];
  }
  /// Entries from \p From to \p Until, at least one, within both bounds.
  [[nodiscard]] std::vector<entry> slice(log_index From, log_index Until,
                                         std::size_t MaxEntries,
                                         std::size_t MaxBytes) const;

  /// The entry must continue the log.
  void append(entry Entry);
  /// Removes the entries from \p Index on.
  void truncateFrom(log_index Index);

  /// Keeps \p Snapshot and at most \p Trailing entries before it.
  void compact(std::shared_ptr<const snapshot> Snapshot, std::size_t Trailing);
  /// Replaces the log by a snapshot.
  void reset(std::shared_ptr<const snapshot> Snapshot);

  [[nodiscard]] const std::shared_ptr<const snapshot> &lastSnapshot() const {
    return Snapshot;
  }
  [[nodiscard]] log_index snapshotIndex() const {
    return Snapshot ? Snapshot->Index : 0;
  }

  /// The members in effect: those of the last configuration, committed or not.
  [[nodiscard]] const configuration &members() const;
  [[nodiscard]] const configuration &membersAt(log_index Index) const;
  /// Index of the last configuration.
  [[nodiscard]] log_index membersIndex() const;

private:
  struct indexed_configuration {
    log_index Index = 0;
    configuration Members;
  };

  std::deque<entry> Entries;
  /// Position before the first held entry.
  log_index BaseIndex = 0;
  log_term BaseTerm = 0;
  std::shared_ptr<const snapshot> Snapshot;
  /// In order of index; never empty, the first is in effect at BaseIndex or
  /// at the snapshot.
  std::vector<indexed_configuration> Configurations{{}};
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_RAFTLOG_H
