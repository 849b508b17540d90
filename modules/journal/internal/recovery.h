// Reads what a data folder holds when the journal is opened.

#ifndef FULMAR_JOURNAL_RECOVERY_H
#define FULMAR_JOURNAL_RECOVERY_H

#include "fulmar/base/result.h"
#include "fulmar/journal/ifilesystem.h"
#include "fulmar/journal/journaltypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::journal {

inline constexpr std::string_view SegmentPrefix = "segment-";
inline constexpr std::string_view SegmentSuffix = ".log";
inline constexpr std::string_view SnapshotPrefix = "snapshot-";
inline constexpr std::string_view SnapshotSuffix = ".snap";
inline constexpr std::string_view TemporarySuffix = ".tmp";

std::string segmentName(std::uint64_t Number);
std::string snapshotName(std::uint64_t Index);

/// The snapshot file's content.
std::string encodeSnapshot(const stored_snapshot &Snapshot,
                           std::uint64_t FirstSegment);

struct recovered_files {
  contents Contents;
  /// The segment to go on with; 0 when there is none.
  std::uint64_t LastSegment = 0;
  /// Valid bytes of the last segment.
  std::uint64_t LastSegmentBytes = 0;
  std::map<std::uint64_t, std::uint64_t> FirstIndexOf;
  std::map<std::uint64_t, std::uint64_t> EarlierBytes;
};

/// One pass over a data folder.
class recovery {
public:
  recovery(std::string DataFolder, ifilesystem &Filesystem)
      : Folder(std::move(DataFolder)), Files(Filesystem) {}

  /// Fails with Corrupt and names file and offset.
  base::result<recovered_files> run();

private:
  struct segment {
    std::uint64_t Number = 0;
    std::string Bytes;
  };

  base::result<void> listFiles();
  base::result<void> loadSnapshot();
  base::result<void> removeObsolete();
  base::result<void> loadSegments();
  base::result<void> checkSequence() const;
  /// Removes a last segment whose creation was not completed.
  base::result<void> dropUnfinishedSegment();
  base::result<void> replayAll();
  /// Replays one segment; \p ExpectedBytes is set for all but the last.
  base::result<void> replaySegment(const segment &Segment,
                                   std::optional<std::uint64_t> ExpectedBytes);
  base::result<void> replayBatch(const segment &Segment,
                                 std::string_view Payload,
                                 std::uint64_t Offset);
  base::result<void> cutTail(const segment &Segment, std::uint64_t Size);
  base::result<void> selectRecords();
  [[nodiscard]] std::string pathOf(const std::string &Name) const;

  std::string Folder;
  ifilesystem &Files;

  std::vector<std::uint64_t> SegmentNumbers;
  std::vector<std::uint64_t> SnapshotIndexes;
  std::vector<std::string> Temporaries;
  std::uint64_t FirstSegment = 1;
  std::vector<segment> Segments;
  /// Every live record with the number of its segment.
  std::vector<std::pair<std::uint64_t, log_record>> Records;
  recovered_files Result;
};

} // namespace fulmar::journal

#endif // FULMAR_JOURNAL_RECOVERY_H
