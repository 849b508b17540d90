// What a journal stores. Payloads are opaque bytes of the caller.

#ifndef FULMAR_JOURNAL_JOURNALTYPES_H
#define FULMAR_JOURNAL_JOURNALTYPES_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::journal {

struct journal_options {
  std::string Folder;
  /// A segment file that has reached this size is followed by a new one.
  std::uint64_t SegmentBytes = std::uint64_t(8) << 20;
};

/// A log record; indexes are contiguous.
struct log_record {
  std::uint64_t Index = 0;
  std::string Payload;

  friend auto operator<=>(const log_record &, const log_record &) = default;
};

/// Replaces every log record up to and including Index.
struct stored_snapshot {
  std::uint64_t Index = 0;
  std::string Payload;

  friend auto operator<=>(const stored_snapshot &,
                          const stored_snapshot &) = default;
};

/// What becomes of the records behind a new snapshot's index.
enum class suffix : std::uint8_t { Keep, Discard };

/// Everything that a journal holds when it is opened.
struct contents {
  /// Empty when none was ever stored.
  std::string HardState;
  std::optional<stored_snapshot> Snapshot;
  /// Records behind the snapshot.
  std::vector<log_record> Records;
  /// Size of the unsynced tail that was dropped.
  std::uint64_t DroppedBytes = 0;

  friend auto operator<=>(const contents &, const contents &) = default;
};

} // namespace fulmar::journal

#endif // FULMAR_JOURNAL_JOURNALTYPES_H
