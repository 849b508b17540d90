// A durable log with snapshots and a small hard state under one folder.
//
// Writes are queued and become durable together: commit() writes them as one
// checksummed frame and syncs once, so that a crash leaves a commit whole or
// absent. Segment files are named segment-NUMBER.log. Every frame states how
// far its segment was synced when the frame was written, and each commit is
// followed by an empty, unsynced frame with the new length.
//
// On opening, the first invalid frame of the last segment is
//  * corruption, when a valid frame stands anywhere behind it that was written
//    after the invalid frame's start had been synced;
//  * an unsynced tail otherwise, which is cut off.
// Hence a damaged synced frame is always found as long as one later frame is
// intact. Damage to the last synced frame can't be told from a torn write
// when everything behind it is lost too, as after a loss of power; after a
// crash of the process alone the empty frame is there and proves it.
// An earlier segment must be valid exactly up to the length that its
// successor's first frame states. A missing segment is corruption.

#ifndef FULMAR_JOURNAL_JOURNAL_H
#define FULMAR_JOURNAL_JOURNAL_H

#include "fulmar/journal/ifilesystem.h"
#include "fulmar/journal/journaltypes.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmar::journal {

struct batch_record;
struct recovered_files;

class journal {
public:
  /// A journal and what it held.
  struct opened;

  /// Opens or creates the journal in the options' folder. Fails with Corrupt
  /// and names file and offset, or with Conflict when the folder is in use.
  /// \p Files must outlive the journal.
  static base::result<opened> open(journal_options Options, ifilesystem &Files);

  ~journal();
  journal(const journal &) = delete;
  journal &operator=(const journal &) = delete;

  /// Queues a new hard state.
  void setHardState(std::string HardState);
  /// Queues a record; its index must be lastIndex() + 1.
  void append(std::uint64_t Index, std::string Payload);
  /// Queues the removal of all records from \p Index on.
  void truncateFrom(std::uint64_t Index);

  /// Makes everything queued durable with one sync. On StorageFull the queue
  /// is dropped, what was durable stays, and a later commit may succeed.
  /// Any other failure is fatal: see usable().
  base::result<void> commit();

  /// Durably replaces the records up to the snapshot's index and removes the
  /// files that are no longer needed. Nothing may be queued. On StorageFull
  /// the journal is unchanged; any other failure is fatal.
  base::result<void> saveSnapshot(const stored_snapshot &Snapshot,
                                  suffix Suffix);

  /// False after a fatal failure: what is on disk is then unknown, every call
  /// fails, and the process must exit.
  [[nodiscard]] bool usable() const { return Usable; }
  /// Index of the last record, queued ones included.
  [[nodiscard]] std::uint64_t lastIndex() const { return QueuedLast; }
  /// Bytes of all segments that are held.
  [[nodiscard]] std::uint64_t bytes() const;

private:
  journal(journal_options JournalOptions, ifilesystem &Filesystem);

  base::result<void> adopt(recovered_files Recovered);
  base::result<void> writeBatch();
  base::result<void> restoreTail();
  base::result<void> rollSegment();
  base::result<void> createSegment(std::uint64_t Number);
  base::result<void> writeSnapshotFile(const stored_snapshot &Snapshot,
                                       std::uint64_t FirstSegment);
  base::result<void> removeObsolete(std::uint64_t SnapshotIndex,
                                    std::uint64_t FirstSegment);
  [[nodiscard]] std::uint64_t segmentOf(std::uint64_t Index) const;
  void settleQueue();
  void dropQueue();
  [[nodiscard]] std::string pathOf(const std::string &Name) const;
  base::result<void> fatal(const base::error &Cause);

  journal_options Options;
  ifilesystem &Files;
  std::unique_ptr<ifolder_lock> Lock;

  /// The segment that is written to.
  std::unique_ptr<ifile> Segment;
  std::uint64_t SegmentNumber = 0;
  /// End of the synced frames of the segment.
  std::uint64_t Synced = 0;
  /// End of the whole frames of the segment, at least Synced.
  std::uint64_t Written = 0;
  /// Bytes behind Written may be left of a failed write.
  bool TailDirty = false;
  bool Usable = true;

  std::string HardState;
  /// Index of the first record of each segment that holds live records.
  std::map<std::uint64_t, std::uint64_t> FirstIndexOf;
  /// Sizes of the earlier segments.
  std::map<std::uint64_t, std::uint64_t> EarlierBytes;
  std::uint64_t LastIndex = 0;

  std::vector<batch_record> Queue;
  /// LastIndex once the queue is durable.
  std::uint64_t QueuedLast = 0;
  std::uint64_t SnapshotIndex = 0;
};

struct journal::opened {
  std::unique_ptr<journal> Journal;
  contents Contents;
};

} // namespace fulmar::journal

#endif // FULMAR_JOURNAL_JOURNAL_H
