// In-memory log of a replica: the entries after the last snapshot, a bounded
// number of entries before it, and the configuration at every index.

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
  /// Returns the term at \p Index, or nothing if the log doesn't hold it.
  [[nodiscard]] std::optional<log_term> termAt(log_index Index) const;
  /// Returns the smallest index whose entry is in memory.
  [[nodiscard]] log_index firstIndex() const { return BaseIndex + 1; }
  [[nodiscard]] const entry &at(log_index Index) const {
    return Entries[Index - BaseIndex - 1];
  }
  /// Returns the entries from \p From to \p Until, limited by \p MaxEntries and
  /// the payload size \p MaxBytes. The first entry is returned even if it
  /// exceeds \p MaxBytes.
  [[nodiscard]] std::vector<entry> slice(log_index From, log_index Until,
                                         std::size_t MaxEntries,
                                         std::size_t MaxBytes) const;

  /// Appends an entry, whose index must be lastIndex() + 1.
  void append(entry Entry);
  /// Removes the entries at and after \p Index.
  void truncateFrom(log_index Index);

  /// Sets the last snapshot and drops all but \p Trailing entries before it.
  void compact(std::shared_ptr<const snapshot> Snapshot, std::size_t Trailing);
  /// Replaces the whole log with a snapshot.
  void reset(std::shared_ptr<const snapshot> Snapshot);

  [[nodiscard]] const std::shared_ptr<const snapshot> &lastSnapshot() const {
    return Snapshot;
  }
  [[nodiscard]] log_index snapshotIndex() const {
    return Snapshot ? Snapshot->Index : 0;
  }

  /// Returns the configuration in effect: the last one in the log, whether or
  /// not it is committed.
  [[nodiscard]] const configuration &members() const;
  [[nodiscard]] const configuration &membersAt(log_index Index) const;
  /// Returns the index of the configuration in effect.
  [[nodiscard]] log_index membersIndex() const;

private:
  struct indexed_configuration {
    log_index Index = 0;
    configuration Members;
  };

  std::deque<entry> Entries;
  /// Index before the first entry in memory.
  log_index BaseIndex = 0;
  log_term BaseTerm = 0;
  std::shared_ptr<const snapshot> Snapshot;
  /// Sorted by index and never empty; the first is in effect at BaseIndex or at
  /// the snapshot.
  std::vector<indexed_configuration> Configurations{{}};
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_RAFTLOG_H
