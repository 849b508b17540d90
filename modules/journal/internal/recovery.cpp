// Recovers snapshot, hard state and records, and decides between an unsynced
// tail and corruption.

#include "recovery.h"

#include "batchrecord.h"
#include "frame.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace fulmar::journal {

namespace {

struct snapshot_body {
  std::uint64_t FirstSegment = 0;
  std::string Payload;

  MSGPACK_DEFINE(FirstSegment, Payload)
};

std::string numberedName(std::string_view Prefix, std::uint64_t Number,
                         std::string_view Suffix) {
  // Zero-padded, so that names sort by number.
  char Digits[24];
  std::snprintf(Digits, sizeof(Digits), "%020llu",
                static_cast<unsigned long long>(Number));
  return std::string(Prefix) + Digits + std::string(Suffix);
}

std::optional<std::uint64_t> numberOf(std::string_view Name,
                                      std::string_view Prefix,
                                      std::string_view Suffix) {
  if (!Name.starts_with(Prefix) || !Name.ends_with(Suffix))
    return std::nullopt;
  Name.remove_prefix(Prefix.size());
  Name.remove_suffix(Suffix.size());
  std::uint64_t Number = 0;
  const auto Parsed =
      std::from_chars(Name.data(), Name.data() + Name.size(), Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != Name.data() + Name.size())
    return std::nullopt;
  return Number;
}

auto corrupt(const std::string &Path, std::uint64_t Offset,
             const std::string &Fault) {
  return base::fail(base::error_kind::Corrupt,
                    Path + ": offset " + std::to_string(Offset) + ": " + Fault);
}

std::optional<snapshot_body> decodeSnapshot(std::string_view Bytes,
                                            std::uint64_t Index) {
  const auto Frame = decodeFrame(Bytes, Index, 0);
  if (!Frame || Frame->End != Bytes.size())
    return std::nullopt;
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Frame->Payload.data(), Frame->Payload.size());
    return Handle->as<snapshot_body>();
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string segmentName(std::uint64_t Number) {
  return numberedName(SegmentPrefix, Number, SegmentSuffix);
}

std::string snapshotName(std::uint64_t Index) {
  return numberedName(SnapshotPrefix, Index, SnapshotSuffix);
}

std::string encodeSnapshot(const stored_snapshot &Snapshot,
                           std::uint64_t FirstSegment) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, snapshot_body{FirstSegment, Snapshot.Payload});
  return encodeFrame({Buffer.data(), Buffer.size()},
                     {.FileNumber = Snapshot.Index});
}

std::string recovery::pathOf(const std::string &Name) const {
  return Folder + "/" + Name;
}

base::result<recovered_files> recovery::run() {
  BOOST_OUTCOME_TRY(listFiles());
  BOOST_OUTCOME_TRY(loadSnapshot());
  BOOST_OUTCOME_TRY(removeObsolete());
  BOOST_OUTCOME_TRY(loadSegments());
  BOOST_OUTCOME_TRY(dropUnfinishedSegment());
  BOOST_OUTCOME_TRY(checkSequence());
  BOOST_OUTCOME_TRY(replayAll());
  BOOST_OUTCOME_TRY(selectRecords());
  return std::move(Result);
}

base::result<void> recovery::listFiles() {
  BOOST_OUTCOME_TRY(Names, Files.list(Folder));
  for (const std::string &Name : Names) {
    if (const auto Number = numberOf(Name, SegmentPrefix, SegmentSuffix))
      SegmentNumbers.push_back(*Number);
    else if (const auto Index = numberOf(Name, SnapshotPrefix, SnapshotSuffix))
      SnapshotIndexes.push_back(*Index);
    else if (Name.ends_with(TemporarySuffix))
      Temporaries.push_back(Name);
  }
  std::sort(SegmentNumbers.begin(), SegmentNumbers.end());
  std::sort(SnapshotIndexes.begin(), SnapshotIndexes.end());
  return base::success();
}

base::result<void> recovery::loadSnapshot() {
  if (SnapshotIndexes.empty())
    return base::success();
  const std::uint64_t Index = SnapshotIndexes.back();
  const std::string Path = pathOf(snapshotName(Index));
  BOOST_OUTCOME_TRY(Bytes, Files.read(Path));
  // A snapshot gets its name only after it was synced.
  auto Body = decodeSnapshot(Bytes, Index);
  if (!Body)
    return corrupt(Path, 0, "damaged snapshot");
  FirstSegment = Body->FirstSegment;
  Result.Contents.Snapshot = stored_snapshot{Index, std::move(Body->Payload)};
  return base::success();
}

base::result<void> recovery::removeObsolete() {
  for (const std::string &Name : Temporaries) {
    BOOST_OUTCOME_TRY(Files.remove(pathOf(Name)));
  }
  for (const std::uint64_t Index : SnapshotIndexes) {
    if (Index != SnapshotIndexes.back()) {
      BOOST_OUTCOME_TRY(Files.remove(pathOf(snapshotName(Index))));
    }
  }
  for (const std::uint64_t Number : SegmentNumbers) {
    if (Number < FirstSegment) {
      BOOST_OUTCOME_TRY(Files.remove(pathOf(segmentName(Number))));
    }
  }
  std::erase_if(SegmentNumbers,
                [this](std::uint64_t Number) { return Number < FirstSegment; });
  return base::success();
}

base::result<void> recovery::loadSegments() {
  for (const std::uint64_t Number : SegmentNumbers) {
    BOOST_OUTCOME_TRY(Bytes, Files.read(pathOf(segmentName(Number))));
    Segments.push_back({Number, std::move(Bytes)});
  }
  return base::success();
}

base::result<void> recovery::dropUnfinishedSegment() {
  if (Segments.empty())
    return base::success();
  const segment &Last = Segments.back();
  // The first segment behind a snapshot was complete before the snapshot.
  if (Result.Contents.Snapshot && Last.Number == FirstSegment)
    return base::success();
  const segment_scan Scan = scanSegment(Last.Bytes, Last.Number);
  if (!Scan.Frames.empty() || Scan.SyncedDamaged)
    return base::success();
  Result.Contents.DroppedBytes += Last.Bytes.size();
  BOOST_OUTCOME_TRY(Files.remove(pathOf(segmentName(Last.Number))));
  BOOST_OUTCOME_TRY(Files.syncFolder(Folder));
  Segments.pop_back();
  return base::success();
}

base::result<void> recovery::checkSequence() const {
  std::uint64_t Expected = FirstSegment;
  for (const segment &Segment : Segments) {
    if (Segment.Number != Expected)
      return corrupt(pathOf(segmentName(Expected)), 0, "segment is missing");
    ++Expected;
  }
  if (Segments.empty() && Result.Contents.Snapshot)
    return corrupt(pathOf(segmentName(Expected)), 0, "segment is missing");
  return base::success();
}

base::result<void> recovery::replayAll() {
  for (std::size_t I = 0; I < Segments.size(); ++I) {
    std::optional<std::uint64_t> ExpectedBytes;
    if (I + 1 < Segments.size()) {
      const segment &Next = Segments[I + 1];
      const auto Start = decodeFrame(Next.Bytes, Next.Number, 0);
      if (!Start)
        return corrupt(pathOf(segmentName(Next.Number)), 0, "damaged frame");
      BOOST_OUTCOME_TRY(Batch, decodeBatch(Start->Payload));
      if (Batch.empty() || Batch.front().kind() != batch_kind::SegmentStart)
        return corrupt(pathOf(segmentName(Next.Number)), 0,
                       "segment does not begin with its start record");
      ExpectedBytes = Batch.front().Index;
    }
    BOOST_OUTCOME_TRY(replaySegment(Segments[I], ExpectedBytes));
  }
  return base::success();
}

base::result<void>
recovery::replaySegment(const segment &Segment,
                        std::optional<std::uint64_t> ExpectedBytes) {
  const std::string Path = pathOf(segmentName(Segment.Number));
  const segment_scan Scan = scanSegment(Segment.Bytes, Segment.Number);
  const bool Damaged =
      ExpectedBytes ? Scan.ValidBytes < *ExpectedBytes : Scan.SyncedDamaged;
  if (Damaged || Scan.Frames.empty())
    return corrupt(Path, Scan.ValidBytes, "damaged frame");
  std::uint64_t Offset = 0;
  for (const frame &Frame : Scan.Frames) {
    if (ExpectedBytes && Offset >= *ExpectedBytes)
      break;
    BOOST_OUTCOME_TRY(replayBatch(Segment, Frame.Payload, Offset));
    Offset = Frame.End;
  }
  if (ExpectedBytes) {
    Result.EarlierBytes[Segment.Number] = Offset;
    return base::success();
  }
  Result.LastSegment = Segment.Number;
  Result.LastSegmentBytes = Scan.ValidBytes;
  return cutTail(Segment, Scan.ValidBytes);
}

base::result<void> recovery::replayBatch(const segment &Segment,
                                         std::string_view Payload,
                                         std::uint64_t Offset) {
  if (Payload.empty())
    return base::success();
  const std::string Path = pathOf(segmentName(Segment.Number));
  const auto Batch = decodeBatch(Payload);
  if (!Batch)
    return corrupt(Path, Offset, Batch.error().Message);
  for (const batch_record &Record : Batch.value()) {
    switch (Record.kind()) {
    case batch_kind::SegmentStart:
      break;
    case batch_kind::HardState:
      Result.Contents.HardState = Record.Payload;
      break;
    case batch_kind::Truncate:
      while (!Records.empty() && Records.back().second.Index >= Record.Index)
        Records.pop_back();
      break;
    case batch_kind::Append:
      if (!Records.empty() && Records.back().second.Index + 1 != Record.Index)
        return corrupt(Path, Offset, "log index is not contiguous");
      Records.push_back({Segment.Number, {Record.Index, Record.Payload}});
      break;
    default:
      return corrupt(Path, Offset, "unknown record kind");
    }
  }
  return base::success();
}

base::result<void> recovery::cutTail(const segment &Segment,
                                     std::uint64_t Size) {
  // Left-overs must not come back behind frames that are written from now on.
  if (Size == Segment.Bytes.size())
    return base::success();
  Result.Contents.DroppedBytes += Segment.Bytes.size() - Size;
  BOOST_OUTCOME_TRY(File, Files.open(pathOf(segmentName(Segment.Number))));
  BOOST_OUTCOME_TRY(File->truncate(Size));
  return File->sync();
}

base::result<void> recovery::selectRecords() {
  const std::uint64_t Covered =
      Result.Contents.Snapshot ? Result.Contents.Snapshot->Index : 0;
  for (auto &[Number, Record] : Records) {
    if (Record.Index <= Covered)
      continue;
    Result.FirstIndexOf.try_emplace(Number, Record.Index);
    Result.Contents.Records.push_back(std::move(Record));
  }
  const auto &Selected = Result.Contents.Records;
  if (!Selected.empty() && Selected.front().Index != Covered + 1)
    return corrupt(pathOf(segmentName(FirstSegment)), 0,
                   "records before index " +
                       std::to_string(Selected.front().Index) + " are missing");
  return base::success();
}

} // namespace fulmar::journal
