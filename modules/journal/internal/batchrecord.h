// One record of a commit, as it stands in a frame's payload.

#ifndef FULMAR_JOURNAL_BATCHRECORD_H
#define FULMAR_JOURNAL_BATCHRECORD_H

#include "fulmar/base/result.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::journal {

enum class batch_kind : std::uint8_t {
  /// First record of a segment; Index is the length of the previous segment.
  SegmentStart,
  HardState,
  Append,
  /// Removes the records from Index on.
  Truncate,
};

struct batch_record {
  std::uint8_t Kind = 0;
  std::uint64_t Index = 0;
  std::string Payload;

  [[nodiscard]] batch_kind kind() const {
    return static_cast<batch_kind>(Kind);
  }

  MSGPACK_DEFINE(Kind, Index, Payload)
};

inline batch_record makeRecord(batch_kind Kind, std::uint64_t Index,
                               std::string Payload) {
  return {static_cast<std::uint8_t>(Kind), Index, std::move(Payload)};
}

std::string encodeBatch(const std::vector<batch_record> &Batch);
/// Fails with Corrupt.
base::result<std::vector<batch_record>> decodeBatch(std::string_view Bytes);

} // namespace fulmar::journal

#endif // FULMAR_JOURNAL_BATCHRECORD_H
