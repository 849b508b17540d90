// Frames: length-prefixed, checksummed blocks that make up segments and
// snapshot files. The checksum also covers the file's number and the frame's
// offset, so that bytes of another place are never taken for a frame.

#ifndef FULMAR_JOURNAL_FRAME_H
#define FULMAR_JOURNAL_FRAME_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::journal {

/// Longest payload of a frame.
inline constexpr std::uint64_t MaxFramePayload = 0xffffffffU;

/// Where a frame stands, and how far the file was synced before it.
struct frame_place {
  std::uint64_t FileNumber = 0;
  std::uint64_t Offset = 0;
  std::uint64_t Synced = 0;
};

struct frame {
  std::uint64_t End = 0;
  std::uint64_t Synced = 0;
  std::string_view Payload;
};

struct segment_scan {
  /// The valid frames from the start of the file.
  std::vector<frame> Frames;
  /// End of the last of them.
  std::uint64_t ValidBytes = 0;
  /// The first invalid frame had been synced once.
  bool SyncedDamaged = false;
};

std::string encodeFrame(std::string_view Payload, const frame_place &Place);

/// Reads the frame at \p Offset; empty when there is no valid one.
std::optional<frame> decodeFrame(std::string_view File,
                                 std::uint64_t FileNumber,
                                 std::uint64_t Offset);

segment_scan scanSegment(std::string_view File, std::uint64_t FileNumber);

} // namespace fulmar::journal

#endif // FULMAR_JOURNAL_FRAME_H
