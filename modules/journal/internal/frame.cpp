// Encodes, checks and searches frames.

#include "frame.h"

#include <xxhash.h>

#include <cstring>

namespace fulmar::journal {

namespace {

constexpr std::string_view Magic = "FJ01";
constexpr std::uint64_t LengthOffset = 4;
constexpr std::uint64_t SyncedOffset = 8;
constexpr std::uint64_t ChecksumOffset = 16;
constexpr std::uint64_t HeaderBytes = 24;

template <typename Integer>
void putLittleEndian(std::string &Bytes, Integer Value) {
  for (std::size_t Byte = 0; Byte < sizeof(Integer); ++Byte)
    Bytes.push_back(static_cast<char>((Value >> (8 * Byte)) & 0xffU));
}

template <typename Integer> Integer getLittleEndian(std::string_view Bytes) {
  Integer Value = 0;
  for (std::size_t Byte = 0; Byte < sizeof(Integer); ++Byte)
    Value |= static_cast<Integer>(static_cast<unsigned char>(Bytes[Byte]))
             << (8 * Byte);
  return Value;
}

/// \p Covered is the header up to the checksum.
std::uint64_t checksum(std::string_view Covered, std::string_view Payload,
                       std::uint64_t FileNumber, std::uint64_t Offset) {
  std::string Prefix(Covered);
  putLittleEndian(Prefix, FileNumber);
  putLittleEndian(Prefix, Offset);
  const std::uint64_t Seed = XXH64(Prefix.data(), Prefix.size(), 0);
  return XXH64(Payload.data(), Payload.size(), Seed);
}

} // namespace

std::string encodeFrame(std::string_view Payload, const frame_place &Place) {
  std::string Bytes(Magic);
  putLittleEndian(Bytes, static_cast<std::uint32_t>(Payload.size()));
  putLittleEndian(Bytes, Place.Synced);
  putLittleEndian(Bytes,
                  checksum(Bytes, Payload, Place.FileNumber, Place.Offset));
  Bytes += Payload;
  return Bytes;
}

std::optional<frame> decodeFrame(std::string_view File,
                                 std::uint64_t FileNumber,
                                 std::uint64_t Offset) {
  if (File.size() < Offset + HeaderBytes)
    return std::nullopt;
  const std::string_view Header = File.substr(Offset, HeaderBytes);
  if (Header.substr(0, Magic.size()) != Magic)
    return std::nullopt;
  const auto Length =
      getLittleEndian<std::uint32_t>(Header.substr(LengthOffset));
  if (File.size() - Offset - HeaderBytes < Length)
    return std::nullopt;
  const std::string_view Payload = File.substr(Offset + HeaderBytes, Length);
  const auto Expected =
      getLittleEndian<std::uint64_t>(Header.substr(ChecksumOffset));
  if (checksum(Header.substr(0, ChecksumOffset), Payload, FileNumber, Offset) !=
      Expected)
    return std::nullopt;
  return frame{.End = Offset + HeaderBytes + Length,
               .Synced =
                   getLittleEndian<std::uint64_t>(Header.substr(SyncedOffset)),
               .Payload = Payload};
}

segment_scan scanSegment(std::string_view File, std::uint64_t FileNumber) {
  segment_scan Scan;
  while (const auto Frame = decodeFrame(File, FileNumber, Scan.ValidBytes)) {
    Scan.Frames.push_back(*Frame);
    Scan.ValidBytes = Frame->End;
  }
  // A frame that was written after the invalid one had been synced proves that
  // synced bytes are damaged.
  for (std::uint64_t Offset = File.find(Magic, Scan.ValidBytes);
       Offset != std::string_view::npos && !Scan.SyncedDamaged;
       Offset = File.find(Magic, Offset + 1)) {
    const auto Later = decodeFrame(File, FileNumber, Offset);
    Scan.SyncedDamaged = Later && Later->Synced > Scan.ValidBytes;
  }
  return Scan;
}

} // namespace fulmar::journal
