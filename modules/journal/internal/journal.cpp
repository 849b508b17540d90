// Group commit, segments, snapshots and compaction.

#include "fulmar/journal/journal.h"

#include "batchrecord.h"
#include "frame.h"
#include "recovery.h"

#include <algorithm>

namespace fulmar::journal {

namespace {

bool isStorageFull(const base::result<void> &Result) {
  return !Result && Result.error().Kind == base::error_kind::StorageFull;
}

} // namespace

journal::journal(journal_options JournalOptions, ifilesystem &Filesystem)
    : Options(std::move(JournalOptions)), Files(Filesystem) {}

journal::~journal() = default;

base::result<journal::opened> journal::open(journal_options Options,
                                            ifilesystem &Files) {
  BOOST_OUTCOME_TRY(Files.createFolder(Options.Folder));
  std::unique_ptr<journal> Journal(new journal(std::move(Options), Files));
  BOOST_OUTCOME_TRY(Lock, Files.lockFolder(Journal->Options.Folder));
  Journal->Lock = std::move(Lock);
  BOOST_OUTCOME_TRY(Recovered, recovery(Journal->Options.Folder, Files).run());
  contents Contents = Recovered.Contents;
  BOOST_OUTCOME_TRY(Journal->adopt(std::move(Recovered)));
  return opened{std::move(Journal), std::move(Contents)};
}

base::result<void> journal::adopt(recovered_files Recovered) {
  HardState = Recovered.Contents.HardState;
  if (Recovered.Contents.Snapshot)
    SnapshotIndex = Recovered.Contents.Snapshot->Index;
  LastIndex = SnapshotIndex + Recovered.Contents.Records.size();
  QueuedLast = LastIndex;
  FirstIndexOf = std::move(Recovered.FirstIndexOf);
  EarlierBytes = std::move(Recovered.EarlierBytes);
  if (Recovered.LastSegment == 0)
    return createSegment(1);
  SegmentNumber = Recovered.LastSegment;
  BOOST_OUTCOME_TRY(File, Files.open(pathOf(segmentName(SegmentNumber))));
  Segment = std::move(File);
  // What a process that crashed left unsynced is relied on from now on.
  BOOST_OUTCOME_TRY(Segment->sync());
  BOOST_OUTCOME_TRY(Files.syncFolder(Options.Folder));
  Written = Recovered.LastSegmentBytes;
  Synced = Written;
  return base::success();
}

std::string journal::pathOf(const std::string &Name) const {
  return Options.Folder + "/" + Name;
}

base::result<void> journal::fatal(const base::error &Cause) {
  Usable = false;
  return base::fail(base::error_kind::Internal,
                    "the journal can't be trusted any more: " + Cause.Message);
}

void journal::setHardState(std::string NewState) {
  Queue.push_back(makeRecord(batch_kind::HardState, 0, std::move(NewState)));
}

void journal::append(std::uint64_t Index, std::string Payload) {
  Queue.push_back(makeRecord(batch_kind::Append, Index, std::move(Payload)));
  QueuedLast = Index;
}

void journal::truncateFrom(std::uint64_t Index) {
  Index = std::max(Index, SnapshotIndex + 1);
  if (Index > QueuedLast)
    return;
  Queue.push_back(makeRecord(batch_kind::Truncate, Index, {}));
  QueuedLast = Index - 1;
}

base::result<void> journal::commit() {
  if (!Usable)
    return fatal({base::error_kind::Internal, "an earlier write failed"});
  if (Queue.empty())
    return base::success();
  auto Done = restoreTail();
  if (Done && Written >= Options.SegmentBytes)
    Done = rollSegment();
  if (Done)
    Done = writeBatch();
  if (Done) {
    settleQueue();
    return base::success();
  }
  dropQueue();
  return isStorageFull(Done) ? Done : fatal(Done.error());
}

base::result<void> journal::restoreTail() {
  if (!TailDirty)
    return base::success();
  BOOST_OUTCOME_TRY(Segment->truncate(Written));
  TailDirty = false;
  return base::success();
}

base::result<void> journal::writeBatch() {
  const std::string Payload = encodeBatch(Queue);
  if (Payload.size() > MaxFramePayload)
    return base::fail(base::error_kind::Internal, "commit is too large");
  const std::string Frame = encodeFrame(
      Payload,
      {.FileNumber = SegmentNumber, .Offset = Written, .Synced = Synced});
  TailDirty = true;
  BOOST_OUTCOME_TRY(Segment->append(Frame));
  TailDirty = false;
  if (auto Done = Segment->sync(); !Done)
    return fatal(Done.error());
  Written += Frame.size();
  Synced = Written;
  const std::string Mark = encodeFrame(
      {}, {.FileNumber = SegmentNumber, .Offset = Written, .Synced = Synced});
  // Only evidence: losing it loses no record.
  if (Segment->append(Mark))
    Written += Mark.size();
  else
    TailDirty = true;
  return base::success();
}

void journal::settleQueue() {
  for (batch_record &Record : Queue) {
    switch (Record.kind()) {
    case batch_kind::SegmentStart:
      break;
    case batch_kind::HardState:
      HardState = std::move(Record.Payload);
      break;
    case batch_kind::Append:
      FirstIndexOf.try_emplace(SegmentNumber, Record.Index);
      LastIndex = Record.Index;
      break;
    case batch_kind::Truncate:
      std::erase_if(FirstIndexOf, [&Record](const auto &Held) {
        return Held.second >= Record.Index;
      });
      LastIndex = Record.Index - 1;
      break;
    }
  }
  Queue.clear();
}

void journal::dropQueue() {
  Queue.clear();
  QueuedLast = LastIndex;
}

base::result<void> journal::rollSegment() {
  const std::uint64_t Length = Synced;
  const std::uint64_t Number = SegmentNumber;
  BOOST_OUTCOME_TRY(createSegment(Number + 1));
  EarlierBytes[Number] = Length;
  return base::success();
}

base::result<void> journal::createSegment(std::uint64_t Number) {
  const std::string Path = pathOf(segmentName(Number));
  BOOST_OUTCOME_TRY(File, Files.open(Path));
  BOOST_OUTCOME_TRY(File->truncate(0));
  const std::string Start = encodeFrame(
      encodeBatch({makeRecord(batch_kind::SegmentStart, Synced, {}),
                   makeRecord(batch_kind::HardState, 0, HardState)}),
      {.FileNumber = Number});
  if (auto Done = File->append(Start); !Done) {
    if (isStorageFull(Done)) {
      BOOST_OUTCOME_TRY(Files.remove(Path));
    }
    return Done;
  }
  if (auto Done = File->sync(); !Done)
    return fatal(Done.error());
  if (auto Done = Files.syncFolder(Options.Folder); !Done)
    return fatal(Done.error());
  Segment = std::move(File);
  SegmentNumber = Number;
  Written = Start.size();
  Synced = Written;
  TailDirty = false;
  return base::success();
}

std::uint64_t journal::segmentOf(std::uint64_t Index) const {
  std::uint64_t Number = SegmentNumber;
  for (const auto &[Held, First] : FirstIndexOf) {
    if (First <= Index)
      Number = Held;
  }
  return Number;
}

base::result<void> journal::saveSnapshot(const stored_snapshot &Snapshot,
                                         suffix Suffix) {
  if (!Usable)
    return fatal({base::error_kind::Internal, "an earlier write failed"});
  // Records behind a gap would not be contiguous.
  const bool Discard = Suffix == suffix::Discard || Snapshot.Index > LastIndex;
  auto Done = restoreTail();
  if (Done && Discard)
    Done = rollSegment();
  const std::uint64_t FirstSegment = Discard || Snapshot.Index == LastIndex
                                         ? SegmentNumber
                                         : segmentOf(Snapshot.Index + 1);
  if (Done)
    Done = writeSnapshotFile(Snapshot, FirstSegment);
  if (!Done)
    return isStorageFull(Done) ? Done : fatal(Done.error());
  if (Discard) {
    FirstIndexOf.clear();
    LastIndex = Snapshot.Index;
    QueuedLast = LastIndex;
  }
  const std::uint64_t Previous = std::exchange(SnapshotIndex, Snapshot.Index);
  return removeObsolete(Previous, FirstSegment);
}

base::result<void> journal::writeSnapshotFile(const stored_snapshot &Snapshot,
                                              std::uint64_t FirstSegment) {
  const std::string Bytes = encodeSnapshot(Snapshot, FirstSegment);
  if (Bytes.size() > MaxFramePayload)
    return base::fail(base::error_kind::Internal, "snapshot is too large");
  const std::string Path = pathOf(snapshotName(Snapshot.Index));
  const std::string Temporary = Path + std::string(TemporarySuffix);
  BOOST_OUTCOME_TRY(File, Files.open(Temporary));
  BOOST_OUTCOME_TRY(File->truncate(0));
  if (auto Done = File->append(Bytes); !Done) {
    if (isStorageFull(Done)) {
      BOOST_OUTCOME_TRY(Files.remove(Temporary));
    }
    return Done;
  }
  if (auto Done = File->sync(); !Done)
    return fatal(Done.error());
  BOOST_OUTCOME_TRY(Files.rename(Temporary, Path));
  if (auto Done = Files.syncFolder(Options.Folder); !Done)
    return fatal(Done.error());
  return base::success();
}

base::result<void> journal::removeObsolete(std::uint64_t PreviousSnapshot,
                                           std::uint64_t FirstSegment) {
  // Files that stay because of a failure here are removed on opening.
  if (PreviousSnapshot != 0 && PreviousSnapshot != SnapshotIndex)
    (void)Files.remove(pathOf(snapshotName(PreviousSnapshot)));
  while (!EarlierBytes.empty() && EarlierBytes.begin()->first < FirstSegment) {
    const std::uint64_t Number = EarlierBytes.begin()->first;
    (void)Files.remove(pathOf(segmentName(Number)));
    FirstIndexOf.erase(Number);
    EarlierBytes.erase(Number);
  }
  return base::success();
}

std::uint64_t journal::bytes() const {
  std::uint64_t Sum = Written;
  for (const auto &[Number, Size] : EarlierBytes)
    Sum += Size;
  return Sum;
}

} // namespace fulmar::journal
